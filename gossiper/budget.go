package gossiper

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Sizes in bytes and shares of the byte budget.
const (
	// messageOverhead is the length of the JSON-RPC envelope with the sender's name.
	messageOverhead = 100
	// listOverhead is the length of the field names of a message's lists.
	listOverhead = 36
	// maxMessageBytes bounds the records of one message, so that one exchange does
	// not exhaust the budget of a second.
	maxMessageBytes = 3072
	// reserveDivisor gives the share of the budget reserved for probes and their answers.
	reserveDivisor = 4
	// refusalDivisor gives the share of the budget reserved for refusals of further messages.
	refusalDivisor = 16
)

// budget bounds the bytes sent in any second. It is a sliding window because a
// token bucket would let a full burst pass in addition to a second's rate.
type budget struct {
	limit  int
	window []sentBytes
	used   int
	total  int64
}

type sentBytes struct {
	at    timekeeper.Millis
	bytes int
}

// free returns the bytes that can still be sent at now.
func (b *budget) free(now timekeeper.Millis) int {
	i := 0
	for i < len(b.window) && b.window[i].at <= now-timekeeper.Second {
		b.used -= b.window[i].bytes
		i++
	}
	b.window = append(b.window[:0], b.window[i:]...)
	return b.limit - b.used
}

func (b *budget) spend(now timekeeper.Millis, bytes int) {
	b.window = append(b.window, sentBytes{now, bytes})
	b.used += bytes
	b.total += int64(bytes)
}

// recordBytes returns the bytes available for records in one message at now. The
// reserve depends on the class, so that probes always fit.
func (g *Gossiper) recordBytes(now timekeeper.Millis, c Class) int {
	reserved := g.options.BytesPerSecond / reserveDivisor
	switch c {
	case Urgent:
		reserved /= 2
	case Load, Wide:
		// The budget must always allow an urgent push to the first instance of each segment.
		reserved *= 2
	}
	return min(maxMessageBytes, g.budget.free(now)-reserved-messageOverhead)
}

// fitsBudget reports whether the budget allows a message that is neither a probe
// nor its answer.
func (g *Gossiper) fitsBudget(now timekeeper.Millis, m Message) bool {
	return m.size() <= g.budget.free(now)-g.options.BytesPerSecond/reserveDivisor/2
}

// size estimates the encoded size of a message in bytes, to within a few bytes.
func (m Message) size() int {
	n := messageOverhead + len(m.From)
	for _, r := range m.Records {
		n += recordOverhead + len(r.Owner) + len(r.Kind) + 20 + 4*(len(r.Data)+2)/3
	}
	if len(m.Records)+len(m.Versions)+len(m.Want)+len(m.PassOn) > 0 {
		n += 4*(len(m.Versions)+len(m.Want)+len(m.PassOn)+6)/3 + listOverhead
	}
	for name := range m.Digests {
		n += len(name) + 18
	}
	if m.Digests != nil {
		n += 13
	}
	if m.Versions != nil {
		n += 32 + len(m.VersionsOf)
	}
	if m.Probe != "" || m.Heard != "" {
		n += 10 + len(m.Probe) + len(m.Heard)
	}
	return n
}

// BytesSent returns the bytes charged to the budget since the start.
func (g *Gossiper) BytesSent() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.total
}
