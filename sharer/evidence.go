package sharer

import (
	"hash/fnv"
	"math/rand/v2"
	"net/netip"

	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// verdictInterval is the time between two messages with the evidence for what is
	// quarantined, to verdictReceivers other instances each, so that one that starts or was
	// cut off learns it soon.
	verdictInterval  = 500 * timekeeper.Millisecond
	verdictReceivers = 2
)

// evidenceMessages returns the messages with evidence on prompt parts. New evidence goes
// to all instances directly, because each prompt that is let through until it has
// arrived costs a target.
func (s *Sharer) evidenceMessages() []datagram {
	if s.Quarantine == nil {
		return nil
	}
	announcements := s.Quarantine.Announcements()
	verdicts, quarantined := s.Quarantine.Verdicts()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []datagram
	for _, e := range announcements {
		s.lastNumber++
		list = append(list, datagram{s.peerAddresses(), Message{Sender: s.Process, Number: s.lastNumber, Evidence: &e}})
	}
	if now := s.Clock.Read(); quarantined && now.Since(s.verdictsSentAt) >= verdictInterval {
		s.verdictsSentAt = now
		s.lastNumber++
		list = append(list, datagram{s.randomAddresses(verdictReceivers), Message{Sender: s.Process, Number: s.lastNumber, Evidence: &verdicts}})
	}
	return list
}

// handleEvidence passes evidence on and returns the reply to its sender.
func (s *Sharer) handleEvidence(m Message, from netip.AddrPort) []datagram {
	if s.Quarantine == nil || m.Sender == s.Process {
		return nil
	}
	reply, err := s.Quarantine.Merge(*m.Evidence)
	if err != nil {
		s.Record(recorder.Event{Code: recorder.RecordRefused, Cause: m.Sender + ": " + err.Error()})
		return nil
	}
	if len(reply.Answers) == 0 && len(reply.Signs) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return []datagram{{[]netip.AddrPort{from}, Message{Sender: s.Process, Number: s.lastNumber, Evidence: &reply}}}
}

// randomAddresses returns the addresses of n peers chosen at random. The caller holds mu.
func (s *Sharer) randomAddresses(n int) []netip.AddrPort {
	var list []netip.AddrPort
	for _, i := range rand.Perm(len(s.peers))[:min(n, len(s.peers))] {
		list = append(list, s.peers[i].Address)
	}
	return list
}

// Owns reports whether this instance is the one among all known ones that owns a key.
func (s *Sharer) Owns(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	local := ownerWeight(s.Self.Name, key)
	for _, p := range s.peers {
		if w := ownerWeight(p.Name, key); w > local || w == local && p.Name > s.Self.Name {
			return false
		}
	}
	return true
}

// ownerWeight returns the rendezvous weight of an instance for a key.
func ownerWeight(name, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + key)) // Never fails.
	return h.Sum64()
}
