package sharer

import (
	"context"
	"net"
	"net/netip"

	"github.com/gypsumwharf/gypsumwharf/allocator"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Quotas exchanges messages on the quotas of workspaces.
type Quotas interface {
	// Advance returns the messages that are due and the time until the next ones.
	Advance(now timekeeper.Millis) ([]allocator.Datagram, timekeeper.Millis)
	Handle(sender string, from netip.AddrPort, m allocator.Message, now timekeeper.Millis) ([]allocator.Datagram, error)
}

// runQuotas sends the messages on quotas that are due until the context ends.
func (s *Sharer) runQuotas(ctx context.Context, c *net.UDPConn) {
	if s.Quotas == nil {
		return
	}
	s.mu.Lock()
	s.socket = c
	s.mu.Unlock()
	for ctx.Err() == nil {
		list, wait := s.Quotas.Advance(s.Clock.Read().Monotonic)
		s.SendQuotas(list)
		timekeeper.Sleep(ctx, wait)
	}
}

// SendQuotas sends messages on quotas. Before Run they are dropped.
func (s *Sharer) SendQuotas(list []allocator.Datagram) {
	s.mu.Lock()
	socket := s.socket
	s.mu.Unlock()
	if socket != nil && len(list) > 0 {
		s.send(socket, s.quotaMessages(list))
	}
}

func (s *Sharer) quotaMessages(list []allocator.Datagram) []datagram {
	s.mu.Lock()
	defer s.mu.Unlock()
	var messages []datagram
	for _, d := range list {
		s.lastNumber++
		messages = append(messages, datagram{[]netip.AddrPort{d.To}, Message{Sender: s.Process, Number: s.lastNumber, Quota: &d.Message}})
	}
	return messages
}

// handleQuota processes a message on quotas and returns the replies.
func (s *Sharer) handleQuota(m Message, from netip.AddrPort) []datagram {
	if s.Quotas == nil || m.Sender == s.Process {
		return nil
	}
	replies, err := s.Quotas.Handle(m.Sender, from, *m.Quota, s.Clock.Read().Monotonic)
	if err != nil {
		s.Record(recorder.Event{Code: recorder.RecordRefused, Cause: m.Sender + ": " + err.Error()})
		return nil
	}
	return s.quotaMessages(replies)
}
