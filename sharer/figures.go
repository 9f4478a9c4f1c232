package sharer

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	// figuresInterval is the time between two messages with figures. They change
	// slowly, and bytes between data centres are dear.
	figuresInterval = timekeeper.Second
	// figuresLife is the time after which what an instance saw no longer counts.
	figuresLife = 5 * timekeeper.Second
	// mostFigures bounds the figures of a service.
	mostFigures = 32
	// mostServices bounds the services in a message.
	mostServices = 6
)

// Figures are what instances saw of services, by the key of the service. The
// figures of several instances add up; their meaning is the owner's.
type Figures map[Key][]float64

var errFigures = errors.New("figures are not well formed")

// MarshalJSON implements json.Marshaler. A record is a key, a count and so many
// numbers of single precision.
func (f Figures) MarshalJSON() ([]byte, error) {
	data := []byte{}
	services := 0
	for _, k := range sortedKeys(f) {
		if services++; services > mostServices || len(f[k]) > mostFigures {
			break
		}
		data = binary.BigEndian.AppendUint32(data, uint32(k))
		data = append(data, byte(len(f[k])))
		for _, v := range f[k] {
			data = binary.BigEndian.AppendUint32(data, math.Float32bits(float32(v)))
		}
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Figures) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return errors.Wrap(errFigures, err.Error())
	}
	*f = Figures{}
	for len(data) > 0 {
		if len(data) < 5 || len(data) < 5+4*int(data[4]) || data[4] > mostFigures {
			return errors.Wrapf(errFigures, "%d bytes are left", len(data))
		}
		key, count := Key(binary.BigEndian.Uint32(data)), int(data[4])
		data = data[5:]
		values := make([]float64, count)
		for i := range values {
			v := float64(math.Float32frombits(binary.BigEndian.Uint32(data[4*i:])))
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return errors.Wrapf(errFigures, "%v", v)
			}
			values[i] = v
		}
		(*f)[key], data = values, data[4*count:]
	}
	return nil
}

// add adds other figures, or takes them off with sign -1. Figures of another length
// are those of another version of the program, and are left out.
func (f Figures) add(other Figures, sign float64) {
	for k, list := range other {
		if f[k] == nil {
			f[k] = make([]float64, len(list))
		}
		if len(f[k]) != len(list) {
			continue
		}
		sum := make([]float64, len(list))
		for i, v := range list {
			sum[i] = max(f[k][i]+sign*v, 0)
		}
		f[k] = sum
	}
}

// seenFigures are figures as they were told.
type seenFigures struct {
	figures Figures
	number  int64
	at      timekeeper.Reading
}

// seen is what others told of what they saw.
type seen struct {
	instances map[string]seenFigures // By process.
	centres   map[string]seenFigures // Other data centres, told by their relays.
	digest    seenFigures            // All others, told by a relay.
	toldAt    timekeeper.Reading
}

func newSeen() seen {
	return seen{instances: map[string]seenFigures{}, centres: map[string]seenFigures{}}
}

// take replaces what a sender told before. The relays of the own data centre speak
// for instances that tell this one themselves.
func (s *seen) take(m Message, self string, now timekeeper.Reading) {
	t := seenFigures{*m.Figures, m.Number, now}
	switch {
	case m.Digest != nil:
		s.digest = t
	case m.DataCentre != "" && m.DataCentre == self:
	case m.DataCentre != "":
		s.centres[m.DataCentre] = t
	case m.Number > s.instances[m.Sender].number:
		s.instances[m.Sender] = t
	}
}

// sum adds up the figures that are fresh.
func (s *seen) sum(list map[string]seenFigures, into Figures, now timekeeper.Reading) {
	for name, t := range list {
		if now.Since(t.at) > figuresLife {
			delete(list, name)
			continue
		}
		into.add(t.figures, 1)
	}
}

// SeenOf returns what the other instances saw of a service.
func (s *Sharer) SeenOf(service string) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	if s.large() && !s.relays.isRelay(s.followed()) {
		if now.Since(s.seen.digest.at) > figuresLife {
			return nil
		}
		return s.seen.digest.figures[KeyOf(service)]
	}
	all := Figures{}
	s.seen.sum(s.seen.instances, all, now)
	s.seen.sum(s.seen.centres, all, now)
	return all[KeyOf(service)]
}

// figures returns the messages that tell what was seen, when they are due.
func (s *Sharer) figures() []datagram {
	if s.Figures == nil || !s.figuresDue() {
		return nil
	}
	own := s.Figures()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.seen.toldAt = now
	s.number++
	message := Message{Sender: s.Process, Number: s.number, Figures: &own}
	if !s.large() {
		return []datagram{{s.addresses(), message}}
	}
	chosen, _ := s.relays.choose(now)
	list := []datagram{{chosen, message}}
	if s.relays.isRelay(s.followed()) {
		list = append(list, s.relayedFigures(own, now)...)
	}
	return list
}

// figuresDue reports whether it is time to tell others what was seen.
func (s *Sharer) figuresDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.others) > 0 && s.Clock.Read().Since(s.seen.toldAt) >= figuresInterval
}

// relayedFigures returns what a relay tells of others. The caller holds mu.
func (s *Sharer) relayedFigures(own Figures, now timekeeper.Reading) []datagram {
	centre := Figures{}
	centre.add(own, 1)
	s.seen.sum(s.seen.instances, centre, now)
	all := Figures{}
	all.add(centre, 1)
	s.seen.sum(s.seen.centres, all, now)
	var list []datagram
	for name, p := range s.peers {
		if !p.followed {
			continue
		}
		foreign := Figures{}
		foreign.add(all, 1)
		foreign.add(s.seen.instances[name].figures, -1)
		list = append(list, datagram{[]netip.AddrPort{p.address}, Message{
			Sender: s.Process, Number: s.number, Figures: &foreign, Digest: &Digest{Echo: p.message.Number, News: DigestNews{}},
		}})
	}
	remote := s.relays.others(now)
	return append(list, datagram{remote, Message{Sender: s.Process, Number: s.number, Figures: &centre, DataCentre: s.Self.DataCentre}})
}

// addresses returns those of all others. The caller holds mu.
func (s *Sharer) addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, p := range s.others {
		all = append(all, p.Address)
	}
	return all
}
