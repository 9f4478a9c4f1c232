package gossiper

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Sizes that the budget reckons with.
const (
	// messageOverhead is the JSON-RPC envelope with the sender's name.
	messageOverhead = 100
	// listOverhead is the length of the names of a message's lists.
	listOverhead = 36
	// maxMessageBytes bounds the records of one message, so that one exchange does
	// not use up the second's budget.
	maxMessageBytes = 3072
	// reserveShare of the budget is kept for probes and their answers.
	reserveShare = 4
	// refusalShare of the budget is kept for refusals of further messages.
	refusalShare = 16
)

// budget bounds the bytes sent in any second: a sliding window, because a token
// bucket would let a second's burst on top of a second's rate pass.
type budget struct {
	limit int
	sends []sent
	used  int
	total int64
}

type sent struct {
	at    timekeeper.Millis
	bytes int
}

// free returns the bytes that may still be sent at now.
func (b *budget) free(now timekeeper.Millis) int {
	i := 0
	for i < len(b.sends) && b.sends[i].at <= now-timekeeper.Second {
		b.used -= b.sends[i].bytes
		i++
	}
	b.sends = append(b.sends[:0], b.sends[i:]...)
	return b.limit - b.used
}

func (b *budget) spend(now timekeeper.Millis, bytes int) {
	b.sends = append(b.sends, sent{now, bytes})
	b.used += bytes
	b.total += int64(bytes)
}

// room returns the bytes for records in one message at now; what is kept back
// depends on the class: probes always have room.
func (g *Gossiper) room(now timekeeper.Millis, c Class) int {
	reserve := g.options.BytesPerSecond / reserveShare
	switch c {
	case Urgent:
		reserve /= 2
	case Load, Wide:
		// An urgent push to the heads of all segments must find room at once.
		reserve *= 2
	}
	return min(maxMessageBytes, g.budget.free(now)-reserve-messageOverhead)
}

// affordable reports whether a message other than a probe or its answer fits the budget.
func (g *Gossiper) affordable(now timekeeper.Millis, m Message) bool {
	return m.size() <= g.budget.free(now)-g.options.BytesPerSecond/reserveShare/2
}

// size is the number of bytes that a message takes on the wire, to within a few.
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

// BytesSent returns the bytes that the budget accounted for since the start.
func (g *Gossiper) BytesSent() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.total
}
