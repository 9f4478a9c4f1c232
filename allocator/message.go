package allocator

import (
	"hash/fnv"
	"math"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxKeyBytes bounds the name of a workspace in a message; a longer one is hashed.
	maxKeyBytes = 64
	// maxReturned bounds the returned grants of a message.
	maxReturned = 16
	// maxValue bounds the numbers of a message, so that sums stay exact.
	maxValue = 1e15
)

// keyOf returns what identifies a workspace in messages.
func keyOf(workspace string) string {
	if len(workspace) <= maxKeyBytes {
		return workspace
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace)) // Never fails.
	return workspace[:maxKeyBytes-17] + "#" + strconv.FormatUint(h.Sum64(), 16)
}

// Check returns an error if the message is out of bounds.
func (m Message) Check() error {
	if (m.Deposit == nil) == (m.Reply == nil) {
		return errors.Wrap(errMessage, "one of deposit and reply is needed")
	}
	if m.Reply != nil && (m.Ask != nil || len(m.Returned) > 0) {
		return errors.Wrap(errMessage, "a reply asks for something")
	}
	if len(m.Returned) > maxReturned {
		return errors.Wrapf(errMessage, "%d returned grants", len(m.Returned))
	}
	if d := m.Deposit; d != nil && (!inRange(d.Earned, 0) || d.Elapsed < 0 || d.Stamp < 0 || !inRange(float64(d.Age), 0) || !inRange(float64(d.Stamp)+float64(d.Elapsed), 0) || d.Instances < 1 || !inRange(float64(d.Instances), 1)) {
		return errors.Wrapf(errMessage, "deposit %+v", *d)
	}
	if k := m.Ask; k != nil && (k.Workspace == "" || len(k.Workspace) > maxKeyBytes || !inRange(k.Amount, 0) || !inRange(k.Rate, 0) || k.Rate == 0 || !inRange(k.Burst, 0)) {
		return errors.Wrapf(errMessage, "ask %+v", *k)
	}
	if r := m.Reply; r != nil && (r.Term == 0 || r.Stamp < 0 || r.Instances < 0 || !inRange(float64(r.Instances), 0) || !inRange(float64(r.Stamp), 0)) {
		return errors.Wrapf(errMessage, "reply %+v", *r)
	}
	if r := m.Reply; r != nil && r.Verdict != nil && (r.Verdict.After < 0 || !inRange(r.Verdict.Level, -maxValue)) {
		return errors.Wrapf(errMessage, "verdict %+v", *r.Verdict)
	}
	return nil
}

func inRange(v, least float64) bool { return !math.IsNaN(v) && v >= least && v <= maxValue }
