package gossiper

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// publish makes every instance publish a load record of a size each second, with
// the time in its first bytes.
func (n *network) publish(i, size int) {
	if nd := n.nodes[i]; nd.g != nil {
		data := make([]byte, size)
		binary.BigEndian.PutUint64(data, uint64(n.now))
		_ = nd.g.Publish(n.now, "load", data, Load)
	}
	n.after(timekeeper.Second, func() { n.publish(i, size) })
}

// BenchmarkLoadAge reports how old the load records of the own data centre are,
// and the part of them that never arrived, after 20 s.
func BenchmarkLoadAge(b *testing.B) {
	for _, size := range []struct{ nodes, centres, bytes int }{{14, 4, 244}, {100, 6, 244}, {340, 6, 60}, {340, 6, 244}, {340, 6, 1000}} {
		b.Run(fmt.Sprintf("instances=%d-bytes=%d", size.nodes, size.bytes), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(1, size.nodes, size.centres)
				n.running()
				for i := range n.nodes {
					n.after(timekeeper.Millis(n.random.IntN(1000)), func() { n.publish(i, size.bytes) })
				}
				n.runFor(10 * timekeeper.Second)
				before := n.total()
				n.runFor(10 * timekeeper.Second)
				ages, missing := n.ages("load", false)
				peak := 0
				for _, nd := range n.nodes {
					peak = max(peak, nd.peak)
				}
				b.ReportMetric(float64(n.total()-before)/10/float64(size.nodes), "B/s")
				b.ReportMetric(float64(peak), "highest-B/s")
				b.ReportMetric(missing, "missing")
				if len(ages) > 0 {
					b.ReportMetric(float64(ages[len(ages)/2]), "median-age-ms")
					b.ReportMetric(float64(ages[len(ages)*95/100]), "p95-age-ms")
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// centreAgrees reports whether the running instances of one data centre know who of them lives.
func (n *network) centreAgrees(centre, centres int) bool {
	for i := centre; i < len(n.nodes); i += centres {
		if n.nodes[i].g == nil {
			continue
		}
		for _, m := range n.nodes[i].g.Members() {
			var j int
			_, _ = fmt.Sscanf(m.Name, "instance-%d", &j)
			if j%centres == centre && (m.State == Alive) != (n.nodes[j].g != nil) {
				return false
			}
		}
	}
	return true
}

// BenchmarkLoss reports what the loss of instances of one data centre, and a cut of a
// minute between two halves, costs in virtual time: until all agree on who lives
// (60 s at most are watched), and the bytes and processor time meanwhile.
func BenchmarkLoss(b *testing.B) {
	const centres = 6
	for _, size := range []int{42, 100, 340} {
		for _, loss := range []string{"one", "relay", "ten", "centre", "cut"} {
			b.Run(fmt.Sprintf("instances=%d-%s", size, loss), func(b *testing.B) {
				for b.Loop() {
					n := newNetwork(1, size, centres)
					n.running()
					for i := range n.nodes {
						n.after(timekeeper.Millis(n.random.IntN(1000)), func() { n.load(i) })
					}
					n.runFor(5 * timekeeper.Second)
					for _, nd := range n.nodes {
						nd.peak = 0
					}
					if loss == "cut" {
						n.cut = func(a, b int) bool { return (a%centres < 3) != (b%centres < 3) }
						n.runFor(timekeeper.Minute)
						n.cut = nil
					} else {
						most := map[string]int{"one": 1, "relay": 1, "ten": min(10, size/centres-2), "centre": size}[loss]
						first := centres
						if loss == "centre" {
							first = 0
						}
						for i := first; i < size && most > 0; i += centres {
							if loss != "relay" || n.nodes[i].g.relay() {
								n.kill(i)
								most--
							}
						}
					}
					start, sent, processing := n.now, n.total(), n.processing
					neighbours := timekeeper.Millis(-1)
					for n.converged() != nil && n.now < start+timekeeper.Minute {
						n.runFor(100)
						if neighbours < 0 && n.centreAgrees(0, centres) {
							neighbours = n.now - start
						}
					}
					agreed := n.now - start
					n.runFor(max(10*timekeeper.Second-agreed, 0))
					peak := 0
					for _, nd := range n.nodes {
						peak = max(peak, nd.peak)
					}
					span := (n.now - start).Seconds() * float64(size)
					b.ReportMetric(float64(max(neighbours, 0)), "own-centre-ms")
					b.ReportMetric(float64(agreed), "everywhere-ms")
					b.ReportMetric(float64(n.total()-sent)/span, "B/s")
					b.ReportMetric(float64(peak), "highest-B/s")
					b.ReportMetric(float64((n.processing-processing)/time.Microsecond)/span, "µs/instance-second")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkContacts reports what one generation costs when every instance
// publishes a record of 85 bytes on adopting it: the time until all have the first
// reader's urgent record and all records, and the bytes of each instance beyond those before.
func BenchmarkContacts(b *testing.B) {
	const centres, limit = 6, 60 * timekeeper.Second
	for _, size := range []int{14, 100, 340} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(1, size, centres)
				n.running()
				n.runFor(5 * timekeeper.Second)
				quiet := n.total()
				n.runFor(10 * timekeeper.Second)
				idle := float64(n.total()-quiet) / 10 / float64(size)
				start, sent := n.now, n.total()
				for i, nd := range n.nodes {
					class, delay := Normal, timekeeper.Millis(n.random.IntN(2000))
					if i == 0 {
						class, delay = Urgent, 0
					}
					n.after(delay, func() { _ = nd.g.Publish(n.now, "contact", make([]byte, 85), class) })
				}
				urgent, all := timekeeper.Millis(0), timekeeper.Millis(0)
				for all == 0 && n.now < start+limit {
					n.runFor(100)
					missing, late := 0, 0
					for _, nd := range n.nodes {
						for j := range n.nodes {
							if o := nd.g.owners[fmt.Sprintf("instance-%d", j)]; o == nil || o.records["contact"] == nil {
								missing++
								if j == 0 {
									late++
								}
							}
						}
					}
					if late == 0 && urgent == 0 {
						urgent = n.now - start
					}
					if missing == 0 {
						all = n.now - start
					}
				}
				span := n.now - start
				b.ReportMetric(float64(urgent), "urgent-ms")
				b.ReportMetric(span.Seconds(), "all-s")
				b.ReportMetric(float64(n.total()-sent)/float64(size)-idle*span.Seconds(), "extra-bytes")
				b.ReportMetric(idle, "idle-B/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// share makes every instance publish what the assembled one does twice a second: a
// delta, and a demand and a service record of a size, with the time in each.
func (n *network) share(i, wide int) {
	if nd := n.nodes[i]; nd.g != nil {
		for _, kind := range []string{"load", "demand", "service"} {
			size, class := wide, Wide
			if kind == "load" {
				size, class = 244, Load
			}
			data := make([]byte, size)
			binary.BigEndian.PutUint64(data, uint64(n.now))
			_ = nd.g.Publish(n.now, kind, data, class)
		}
	}
	n.after(500*timekeeper.Millisecond, func() { n.share(i, wide) })
}

// ages returns the sorted ages of one kind of record at the others of the data
// centre, or everywhere, and the part that never arrived.
func (n *network) ages(kind string, everywhere bool) ([]timekeeper.Millis, float64) {
	var ages []timekeeper.Millis
	missing := 0
	for i, nd := range n.nodes {
		for j := range n.nodes {
			if i == j || !everywhere && i%n.centres != j%n.centres {
				continue
			}
			o := nd.g.owners[fmt.Sprintf("instance-%d", j)]
			if o == nil || o.records[kind] == nil {
				missing++
				continue
			}
			ages = append(ages, n.now-timekeeper.Millis(binary.BigEndian.Uint64(o.records[kind].Data)))
		}
	}
	slices.Sort(ages)
	return ages, float64(missing) / float64(missing+len(ages))
}

// BenchmarkShares reports the age of load and demand records after 20 s when every
// instance publishes a delta, a demand and a service record twice a second.
func BenchmarkShares(b *testing.B) {
	for _, size := range []struct{ nodes, centres, wide int }{{14, 4, 200}, {14, 4, 700}, {14, 4, 1200}, {42, 6, 200}, {42, 6, 700}, {100, 6, 700}, {340, 6, 200}, {340, 6, 700}} {
		b.Run(fmt.Sprintf("instances=%d-bytes=%d", size.nodes, size.wide), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(1, size.nodes, size.centres)
				n.running()
				for i := range n.nodes {
					n.after(timekeeper.Millis(i%5)*100, func() { n.share(i, size.wide) })
				}
				n.runFor(20 * timekeeper.Second)
				for _, kind := range []string{"load", "demand"} {
					ages, missing := n.ages(kind, kind == "demand")
					b.ReportMetric(missing, kind+"-missing")
					if len(ages) > 0 {
						b.ReportMetric(float64(ages[len(ages)/2]), kind+"-median-ms")
					}
				}
				peak := 0
				for _, nd := range n.nodes {
					peak = max(peak, nd.peak)
				}
				b.ReportMetric(float64(n.total())/20/float64(size.nodes), "B/s")
				b.ReportMetric(float64(peak), "highest-B/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
