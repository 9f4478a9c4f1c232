package reserver

import "time"

const (
	// MaxLag is by how much the receipt of a body may lag behind its least rate.
	MaxLag = 15 * time.Second
	// minExtension is the least extension of a deadline.
	minExtension = time.Second
)

// Pace computes the deadline of reads from a sender that must keep a least rate. The
// deadline changes at most once in a second.
type Pace struct {
	rate     int64 // Bytes per second.
	due      time.Time
	deadline time.Time // At most minExtension earlier.
}

// NewPace returns a pace with a rate of at least one byte per second, and its first
// deadline.
func NewPace(rate int64, now time.Time) (Pace, time.Time) {
	due := now.Add(MaxLag)
	return Pace{rate: max(rate, 1), due: due, deadline: due}, due
}

// WithReceived returns the pace after n bytes were received, its deadline, and whether the
// deadline has changed.
func (p Pace) WithReceived(n int, now time.Time) (next Pace, deadline time.Time, changed bool) {
	p.due = p.due.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	if latest := now.Add(MaxLag); p.due.After(latest) {
		p.due = latest
	}
	if p.due.Sub(p.deadline) < minExtension {
		return p, p.deadline, false
	}
	p.deadline = p.due
	return p, p.deadline, true
}
