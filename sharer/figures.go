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
	// figuresInterval is the time between two messages with figures. Figures change
	// slowly, and traffic between data centres is expensive.
	figuresInterval = timekeeper.Second
	// figuresTTL is the time after which the figures of an instance expire.
	figuresTTL = 5 * timekeeper.Second
	// maxFigures bounds the number of figures of a service.
	maxFigures = 32
	// maxServices bounds the number of services in a message.
	maxServices = 6
)

// Figures are statistics of services, by the key of the service. Those of several
// instances are added up; what each number means is defined by the code that supplies them.
type Figures map[Key][]float64

var errFigures = errors.New("malformed service figures")

// MarshalJSON implements json.Marshaler. A record is a key, a count and that many
// single-precision numbers.
func (f Figures) MarshalJSON() ([]byte, error) {
	data := []byte{}
	services := 0
	for _, k := range sortedKeys(f) {
		if services++; services > maxServices || len(f[k]) > maxFigures {
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
		if len(data) < 5 || len(data) < 5+4*int(data[4]) || data[4] > maxFigures {
			return errors.Wrapf(errFigures, "invalid record in the last %d bytes", len(data))
		}
		key, count := Key(binary.BigEndian.Uint32(data)), int(data[4])
		data = data[5:]
		values := make([]float64, count)
		for i := range values {
			v := float64(math.Float32frombits(binary.BigEndian.Uint32(data[4*i:])))
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return errors.Wrapf(errFigures, "value %v is not finite and non-negative", v)
			}
			values[i] = v
		}
		(*f)[key], data = values, data[4*count:]
	}
	return nil
}

// add adds other figures, or subtracts them with sign -1. Figures of another length come
// from another version of the program and are skipped.
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

// receivedFigures are figures from a message.
type receivedFigures struct {
	figures    Figures
	number     int64 // Of the message.
	receivedAt timekeeper.Reading
}

// remoteFigures holds the figures received from other instances.
type remoteFigures struct {
	instances map[string]receivedFigures // By process.
	centres   map[string]receivedFigures // Other data centres, as reported by their relays.
	digest    receivedFigures            // All other instances, as reported by a relay.
	sentAt    timekeeper.Reading         // When the local figures were last sent.
}

func newRemoteFigures() remoteFigures {
	return remoteFigures{instances: map[string]receivedFigures{}, centres: map[string]receivedFigures{}}
}

// update replaces the earlier figures of a sender. It ignores the sums of the local data
// centre, whose instances send this one their figures themselves.
func (r *remoteFigures) update(m Message, localCentre string, now timekeeper.Reading) {
	f := receivedFigures{*m.Figures, m.Number, now}
	switch {
	case m.Digest != nil:
		r.digest = f
	case m.DataCentre != "" && m.DataCentre == localCentre:
	case m.DataCentre != "":
		r.centres[m.DataCentre] = f
	case m.Number > r.instances[m.Sender].number:
		r.instances[m.Sender] = f
	}
}

// addFresh adds the figures that have not expired to a sum, and drops the others.
func (r *remoteFigures) addFresh(list map[string]receivedFigures, sum Figures, now timekeeper.Reading) {
	for name, f := range list {
		if now.Since(f.receivedAt) > figuresTTL {
			delete(list, name)
			continue
		}
		sum.add(f.figures, 1)
	}
}

// RemoteFigures returns the sums of the other instances' figures of a service.
func (s *Sharer) RemoteFigures(service string) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	if s.large() && !s.relays.isRelay(s.followerCount()) {
		if now.Since(s.remoteFigures.digest.receivedAt) > figuresTTL {
			return nil
		}
		return s.remoteFigures.digest.figures[KeyOf(service)]
	}
	all := Figures{}
	s.remoteFigures.addFresh(s.remoteFigures.instances, all, now)
	s.remoteFigures.addFresh(s.remoteFigures.centres, all, now)
	return all[KeyOf(service)]
}

// figureMessages returns the messages with figures, if they are due.
func (s *Sharer) figureMessages() []datagram {
	if s.LocalFigures == nil || !s.figuresDue() {
		return nil
	}
	local := s.LocalFigures()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Read()
	s.remoteFigures.sentAt = now
	s.lastNumber++
	message := Message{Sender: s.Process, Number: s.lastNumber, Figures: &local}
	if !s.large() {
		return []datagram{{s.peerAddresses(), message}}
	}
	chosen, _ := s.relays.choose(now)
	list := []datagram{{chosen, message}}
	if s.relays.isRelay(s.followerCount()) {
		list = append(list, s.relayedFigureMessages(local, now)...)
	}
	return list
}

// figuresDue reports whether it is time to send the local figures.
func (s *Sharer) figuresDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) > 0 && s.Clock.Read().Since(s.remoteFigures.sentAt) >= figuresInterval
}

// relayedFigureMessages returns the figures that a relay sends on: to each follower those
// of all other instances, and to the other relays the sum of its data centre. The caller
// holds mu.
func (s *Sharer) relayedFigureMessages(local Figures, now timekeeper.Reading) []datagram {
	centre := Figures{}
	centre.add(local, 1)
	s.remoteFigures.addFresh(s.remoteFigures.instances, centre, now)
	all := Figures{}
	all.add(centre, 1)
	s.remoteFigures.addFresh(s.remoteFigures.centres, all, now)
	var list []datagram
	for name, r := range s.reports {
		if !r.isFollower {
			continue
		}
		remote := Figures{}
		remote.add(all, 1)
		remote.add(s.remoteFigures.instances[name].figures, -1)
		list = append(list, datagram{[]netip.AddrPort{r.address}, Message{
			Sender: s.Process, Number: s.lastNumber, Figures: &remote, Digest: &Digest{Echo: r.message.Number, Changes: DigestChanges{}},
		}})
	}
	addresses := s.relays.otherAddresses(now)
	return append(list, datagram{addresses, Message{Sender: s.Process, Number: s.lastNumber, Figures: &centre, DataCentre: s.Self.DataCentre}})
}

// peerAddresses returns the addresses of all peers. The caller holds mu.
func (s *Sharer) peerAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, p := range s.peers {
		all = append(all, p.Address)
	}
	return all
}
