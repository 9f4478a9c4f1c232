package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"math/bits"
)

// digestBytes is the length of the truncated digests. 96 bits make a collision
// between current fingerprints negligible.
const digestBytes = 12

// Identity identifies a request and the requests similar to it.
type Identity struct {
	Workspace   string
	Fingerprint string // Digest of workspace, model, length bucket and the prompt's prefix.
	Exact       string // Digest of the same and the rest of the prompt.
	Bucket      int    // Bit length of the prompt's size in bytes.
}

// Identify returns the identity of a prompt. The prefix is three quarters of the
// bucket's lower bound long, so that variations at the end of a prompt do not
// change its fingerprint.
func Identify(workspace, model string, prompt []byte) Identity {
	bucket := bits.Len(uint(len(prompt)))
	prefix := min(1<<max(bucket-1, 0)*3/4, len(prompt))
	h := sha256.New()
	_, _ = h.Write([]byte(workspace + "\x00" + model + "\x00"))
	_, _ = h.Write([]byte{byte(bucket)})
	_, _ = h.Write(prompt[:prefix])
	fingerprint := h.Sum(nil)
	_, _ = h.Write(prompt[prefix:])
	return Identity{
		Workspace:   workspace,
		Fingerprint: hex.EncodeToString(fingerprint[:digestBytes]),
		Exact:       hex.EncodeToString(h.Sum(nil)[:digestBytes]),
		Bucket:      bucket,
	}
}
