package gossiper

import (
	"hash/fnv"
	"sort"
	"strconv"
	"strings"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// State is the liveness of an instance as the local view has it.
type State int

// States of an instance. Of two states with the same version the higher one wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// stateBits is the number of low bits of a member record's version that hold the
// state. A suspicion therefore overrides the record it is about, and a later
// version by the instance itself refutes it, with the same merge rule as for all
// other records.
const stateBits = 2

// String names the state.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is an instance. Incarnation increases when it restarts and when it
// refutes its own death; ProcessIncarnation is the incarnation at the start of its process.
type Member struct {
	Name               string
	Incarnation        int64
	State              State
	ProcessIncarnation int64
	DataCentre         string
	Region             string
	Rack               string
	PeerAddress        string
}

// Live reports whether the instance is alive or only suspected.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// encode packs the fields that the record itself does not carry, one per line. The
// format is compact because member records are most of what a starting instance
// has to receive.
func (m Member) encode() []byte {
	return []byte(strings.Join([]string{strconv.FormatInt(m.ProcessIncarnation, 36), m.DataCentre, m.Region, m.Rack, m.PeerAddress}, "\n"))
}

func decodeMember(r Record) (Member, bool) {
	fields := strings.Split(string(r.Data), "\n")
	if len(fields) != 5 || fields[1] == "" || fields[4] == "" || len(fields[1]) > maxNameBytes {
		return Member{}, false
	}
	process, err := strconv.ParseInt(fields[0], 36, 64)
	return Member{
		Name: r.Owner, Incarnation: r.Inc, State: State(r.Ver & (1<<stateBits - 1)), ProcessIncarnation: process,
		DataCentre: fields[1], Region: fields[2], Rack: fields[3], PeerAddress: fields[4],
	}, err == nil
}

// owner is an instance with its records and the state of its failure detection.
type owner struct {
	name             string
	hash             uint32
	member           Member
	records          map[string]*entry
	digest           uint64
	stateChanged     timekeeper.Millis // last change of the member's state
	lastSeen         timekeeper.Millis // last contact, direct or reported
	unansweredSince  timekeeper.Millis // first unanswered probe, or 0
	indirectlyProbed bool              // other instances were asked to probe it
	probeRequesters  []string          // instances that asked this one to probe it
}

// joined reports whether the member record of the owner was received.
func (o *owner) joined() bool { return o.member.DataCentre != "" }

// view is derived from the members and recomputed after a change.
type view struct {
	valid  bool
	peers  []*owner            // live peers of the local data centre, by hash
	relays map[string][]*owner // by data centre
	remote map[string][]*owner // live members of the remote data centres
}

const relaysPerDataCentre = 2

// currentView returns the view and recomputes it if it is stale. The caller holds mu.
func (g *Gossiper) currentView() *view {
	if g.view.valid {
		return &g.view
	}
	v := view{valid: true, relays: map[string][]*owner{}, remote: map[string][]*owner{}}
	all := map[string][]*owner{}
	for _, o := range g.sortedOwners {
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
			v.remote[dc] = append(v.remote[dc], o)
		}
	}
	byHash := func(list []*owner) {
		sort.Slice(list, func(i, j int) bool {
			return list[i].hash < list[j].hash || list[i].hash == list[j].hash && list[i].name < list[j].name
		})
	}
	byHash(v.peers)
	for dc, list := range all {
		byHash(v.remote[dc])
		sort.Slice(list, func(i, j int) bool {
			// A suspected instance stays a relay only if no alive one can replace it.
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

// isRelay reports whether this instance is a relay of its data centre. The caller holds mu.
func (g *Gossiper) isRelay() bool {
	for _, o := range g.currentView().relays[g.self.member.DataCentre] {
		if o == g.self {
			return true
		}
	}
	return false
}

// Members returns all known instances, including this one, sorted by name.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Member, 0, len(g.owners))
	for _, o := range g.sortedOwners {
		if o.joined() {
			list = append(list, o.member)
		}
	}
	return list
}

// Self returns the member record that this instance publishes of itself.
func (g *Gossiper) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self.member
}

// Relay reports whether this instance is one of the relays of its data centre.
func (g *Gossiper) Relay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isRelay()
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
