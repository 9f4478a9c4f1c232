package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// direct delivers JSON-encoded messages to claimers in the same process and counts them and their bytes.
type direct struct {
	claimers        map[string]*Claimer
	messages, bytes int
}

func (d *direct) Call(ctx context.Context, address, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := d.claimers[address].Handlers()[method](ctx, data)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	d.messages++
	d.bytes += len(data) + len(encoded)
	return json.Unmarshal(encoded, result)
}

func peersOf(n int) []Peer {
	list := make([]Peer, n)
	for i := range list {
		list[i] = Peer{ID: fmt.Sprintf("instance-%03d/1", i), Address: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 3), Rack: fmt.Sprint(i % 12)}
	}
	return list
}

// region returns claimers whose table is settled: every range has its wanted owner and copy.
func region(b *testing.B, instances, ranges int) (*direct, []*Claimer, *faker.Platform, *timekeeper.Manual) {
	b.Helper()
	clock := timekeeper.NewManual(1_700_000_000_000)
	platform := faker.NewPlatform(clock.Clock())
	d, list := &direct{claimers: map[string]*Claimer{}}, peersOf(instances)
	var claimers []*Claimer
	for _, p := range list {
		c := New(Options{Self: p, Clock: clock.Clock(), Ranges: ranges}, d, platform)
		c.SetPeers(clock.Clock().Now(), list)
		d.claimers[p.Address] = c
		claimers = append(claimers, c)
	}
	for range 2000 {
		settled := true
		for _, c := range claimers {
			clock.Advance(timekeeper.Second)
			c.Tick(b.Context())
		}
		for i, r := range claimers[0].table.Ranges {
			settled = settled && r.Owner == claimers[0].placements[i].owner && r.Copy == claimers[0].placements[i].copy
		}
		if settled && len(claimers[0].table.Ranges) > 0 {
			break
		}
	}
	return d, claimers, platform, clock
}

// BenchmarkClaim measures one claim with its settlement, including the work of the
// requesting instance, owner and copy and the JSON encoding, and its messages and bytes.
func BenchmarkClaim(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			d, claimers, _, clock := region(b, 4, 64)
			answer := make([]byte, size)
			d.messages, d.bytes = 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				// Expired claims are removed outside the measured time to bound the memory.
				if i%1000 == 999 {
					b.StopTimer()
					clock.Advance(2 * timekeeper.Hour)
					for _, c := range claimers {
						for _, h := range c.held {
							c.answerBytes -= h.removeExpired(clock.Clock().Now())
						}
						for j := range c.table.Ranges {
							c.table.Ranges[j].Until = clock.Clock().Now() + c.options.Grant
						}
					}
					b.StartTimer()
				}
				c := claimers[i%len(claimers)]
				o := c.Claim(b.Context(), "workspace", fmt.Sprint(i), "digest", clock.Clock().Now()+timekeeper.Minute)
				if o.State != StateGranted {
					b.Fatalf("claim %d: %+v", i, o)
				}
				assert.NilError(b, c.SettleAnswered(b.Context(), o.Grant, answer))
			}
			b.ReportMetric(float64(d.messages)/float64(b.N), "messages/claim")
			b.ReportMetric(float64(d.bytes)/float64(b.N), "bytes/claim")
		})
	}
}

// BenchmarkMemory reports the memory of each settled claim with an answer of 256 bytes,
// and the bytes of its transfer to a new copy.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h := newRangeState(1, true)
			for i := range n {
				h.apply(Entry{
					Key: KeyOf("workspace", fmt.Sprint(i)), ID: fmt.Sprintf("instance-000/1/%x", i), Digest: KeyOf("body", fmt.Sprint(i)),
					State: StateAnswered, Seq: int64(i + 1), Answer: make([]byte, 256),
				})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			var data []byte
			for b.Loop() {
				var err error
				data, err = json.Marshal(TransferMessage{Entries: h.entries()})
				assert.NilError(b, err)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "bytes/claim")
			b.ReportMetric(float64(len(data))/float64(n), "transfer-bytes/claim")
		})
	}
}

// BenchmarkPlace measures a change of the peers, and reports the size of the table and
// the share of ranges with owner and copy in one data centre of three, which its loss
// destroys.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ instances, ranges int }{{14, 64}, {50, 300}, {170, 1024}, {340, 1024}} {
		b.Run(fmt.Sprintf("instances=%d-ranges=%d", size.instances, size.ranges), func(b *testing.B) {
			list := peersOf(size.instances)
			c := New(Options{Self: list[0], Ranges: size.ranges}, nil, nil)
			for i := 0; b.Loop(); i++ {
				list[1].Leaving = i%2 == 0
				c.SetPeers(0, list)
			}
			t, sameDataCentre, index := Table{}, 0, map[string]Peer{}
			for _, p := range list {
				index[p.ID] = p
			}
			for _, p := range c.placements {
				if index[p.owner].DataCentre == index[p.copy].DataCentre {
					sameDataCentre++
				}
				t.Ranges = append(t.Ranges, Range{Owner: p.owner, Copy: p.copy, Epoch: 3, Until: 1_700_000_000_000})
			}
			data, err := json.Marshal(t)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(data)), "table-bytes")
			b.ReportMetric(float64(sameDataCentre)/float64(len(c.placements)), "owner-and-copy-in-one-centre")
		})
	}
}

// BenchmarkTableCalls reports the store calls that maintain the settled table of a
// region, in virtual time with one tick per instance and second. All instances read
// and renew one object, so conflicts grow with their number.
func BenchmarkTableCalls(b *testing.B) {
	for _, size := range []struct{ instances, ranges int }{{7, 64}, {20, 120}, {40, 240}} {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			for b.Loop() {
				_, claimers, platform, clock := region(b, size.instances, size.ranges)
				const span = 1800
				before := platform.Calls()
				started := time.Now()
				for range span {
					clock.Advance(timekeeper.Second)
					for _, c := range claimers {
						c.Tick(b.Context())
					}
				}
				after := platform.Calls()
				b.ReportMetric(float64(after["put"]-before["put"])/span, "writes/s")
				b.ReportMetric(float64(after["get"]-before["get"])/span, "reads/s")
				b.ReportMetric(float64(time.Since(started).Microseconds())/span/float64(size.instances), "µs/instance-second")
			}
		})
	}
}
