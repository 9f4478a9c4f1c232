package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"math/bits"
)

// Bytes of the digests; 96 bits make a collision of two live fingerprints negligible.
const digestBytes = 12

// Identity is what the quarantine knows of a request.
type Identity struct {
	Workspace   string
	Fingerprint string // Workspace, model, length bucket and the prompt without its last part.
	Exact       string // The same with the whole prompt.
	Bucket      int    // Binary logarithm of the prompt's length.
}

// Identify returns the identity of a prompt. The last part is what follows three
// quarters of the bucket's lower bound, so that variations at the end of a prompt
// keep its fingerprint.
func Identify(workspace, model string, prompt []byte) Identity {
	bucket := bits.Len(uint(len(prompt)))
	stem := min(1<<max(bucket-1, 0)*3/4, len(prompt))
	h := sha256.New()
	_, _ = h.Write([]byte(workspace + "\x00" + model + "\x00"))
	_, _ = h.Write([]byte{byte(bucket)})
	_, _ = h.Write(prompt[:stem])
	fingerprint := h.Sum(nil)
	_, _ = h.Write(prompt[stem:])
	return Identity{
		Workspace:   workspace,
		Fingerprint: hex.EncodeToString(fingerprint[:digestBytes]),
		Exact:       hex.EncodeToString(h.Sum(nil)[:digestBytes]),
		Bucket:      bucket,
	}
}
