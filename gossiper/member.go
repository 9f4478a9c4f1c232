package gossiper

import (
	"hash/fnv"
	"sort"
	"strconv"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// State is how an instance is seen.
type State int

// States of an instance; of two states of one version the higher one holds.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// stateBits is the part of a member record's version that carries the state. A
// suspicion therefore overrides the record it is about, and a later version of
// the instance's own refutes it, under the one merge rule of all records.
const stateBits = 2

// String names the state.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is an instance. Incarnation grows when it restarts and when it comes
// back after it counted as dead; Process is the incarnation at its start.
type Member struct {
	Name        string
	Incarnation int64
	State       State
	Process     int64
	DataCentre  string
	Region      string
	Rack        string
	PeerAddress string
}

// Live reports whether the instance takes part: alive or only suspected.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// encode packs the fields that the record itself does not carry, one a line:
// member records are most of what a starting instance must receive.
func (m Member) encode() []byte {
	return []byte(strings.Join([]string{strconv.FormatInt(m.Process, 36), m.DataCentre, m.Region, m.Rack, m.PeerAddress}, "\n"))
}

func decodeMember(r Record) (Member, bool) {
	fields := strings.Split(string(r.Data), "\n")
	if len(fields) != 5 || fields[1] == "" || fields[4] == "" || len(fields[1]) > maxNameBytes {
		return Member{}, false
	}
	process, err := strconv.ParseInt(fields[0], 36, 64)
	return Member{
		Name: r.Owner, Incarnation: r.Inc, State: State(r.Ver & (1<<stateBits - 1)), Process: process,
		DataCentre: fields[1], Region: fields[2], Rack: fields[3], PeerAddress: fields[4],
	}, err == nil
}

// owner is an instance with its records.
type owner struct {
	name    string
	hash    uint32
	member  Member
	records map[string]*entry
	digest  uint64
	changed timekeeper.Millis // last change of the member's state
	heard   timekeeper.Millis // last direct sign of life
	probed  timekeeper.Millis // first unanswered probe, or 0
	asked   bool              // others were asked to probe
	askers  []string          // instances for which this one probes it
}

// joined reports whether the member record of the owner is known.
func (o *owner) joined() bool { return o.member.DataCentre != "" }

// view is what follows from the members; it is computed again after a change.
type view struct {
	valid  bool
	peers  []*owner            // live others of the own data centre, by hash
	relays map[string][]*owner // by data centre
	others map[string][]*owner // live members of the other data centres
}

const relaysPerDataCentre = 2

// refresh returns the current view. The caller holds mu.
func (g *Gossiper) refresh() *view {
	if g.view.valid {
		return &g.view
	}
	v := view{valid: true, relays: map[string][]*owner{}, others: map[string][]*owner{}}
	all := map[string][]*owner{}
	for _, o := range g.list {
		if !o.joined() || !o.member.Live() {
			continue
		}
		dc := o.member.DataCentre
		all[dc] = append(all[dc], o)
		switch {
		case o == g.self:
		case dc == g.self.member.DataCentre:
			v.peers = append(v.peers, o)
		default:
			v.others[dc] = append(v.others[dc], o)
		}
	}
	byHash := func(list []*owner) {
		sort.Slice(list, func(i, j int) bool {
			return list[i].hash < list[j].hash || list[i].hash == list[j].hash && list[i].name < list[j].name
		})
	}
	byHash(v.peers)
	for dc, list := range all {
		byHash(v.others[dc])
		sort.Slice(list, func(i, j int) bool {
			// A suspect keeps its relay duty only when nobody else can take it.
			if si, sj := list[i].member.State, list[j].member.State; si != sj {
				return si < sj
			}
			return hash64(dc+"/"+list[i].name) > hash64(dc+"/"+list[j].name)
		})
		v.relays[dc] = list[:min(relaysPerDataCentre, len(list))]
	}
	g.view = v
	return &g.view
}

// relay reports whether this instance is a relay of its data centre. The caller holds mu.
func (g *Gossiper) relay() bool {
	for _, o := range g.refresh().relays[g.self.member.DataCentre] {
		if o == g.self {
			return true
		}
	}
	return false
}

// Members returns all known instances, this one included, in order of name.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Member, 0, len(g.owners))
	for _, o := range g.list {
		if o.joined() {
			list = append(list, o.member)
		}
	}
	return list
}

// Self returns this instance as the others see it.
func (g *Gossiper) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.member
}

// Relay reports whether this instance is one of the relays of its data centre.
func (g *Gossiper) Relay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.relay()
}

func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64()
	// FNV's high bits change little for names that differ at the end.
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
