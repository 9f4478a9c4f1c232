package gossiper

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// publishTimedLoad makes an instance publish a load record of the given size each
// second, with the time in its first bytes.
func (n *network) publishTimedLoad(i, size int) {
	if nd := n.nodes[i]; nd.gossiper != nil {
		data := make([]byte, size)
		binary.BigEndian.PutUint64(data, uint64(n.now))
		_ = nd.gossiper.Publish(n.now, "load", data, Load)
	}
	n.after(timekeeper.Second, func() { n.publishTimedLoad(i, size) })
}

// BenchmarkLoadAge reports the age of the load records of the local data centre
// and the share of them that never arrived, after 20 s.
func BenchmarkLoadAge(b *testing.B) {
	for _, size := range []struct{ nodes, centres, bytes int }{{14, 4, 244}, {100, 6, 244}, {340, 6, 60}, {340, 6, 244}, {340, 6, 1000}} {
		b.Run(fmt.Sprintf("instances=%d-bytes=%d", size.nodes, size.bytes), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(1, size.nodes, size.centres)
				n.startConverged()
				for i := range n.nodes {
					n.after(timekeeper.Millis(n.random.IntN(1000)), func() { n.publishTimedLoad(i, size.bytes) })
				}
				n.runFor(10 * timekeeper.Second)
				before := n.totalBytes()
				n.runFor(10 * timekeeper.Second)
				ages, missing := n.ages("load", false)
				peak := 0
				for _, nd := range n.nodes {
					peak = max(peak, nd.peak)
				}
				b.ReportMetric(float64(n.totalBytes()-before)/10/float64(size.nodes), "B/s")
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

// centreAgrees reports whether the running instances of one data centre see exactly
// the running ones among them as alive.
func (n *network) centreAgrees(centre, centres int) bool {
	for i := centre; i < len(n.nodes); i += centres {
		if n.nodes[i].gossiper == nil {
			continue
		}
		for _, m := range n.nodes[i].gossiper.Members() {
			var j int
			_, _ = fmt.Sscanf(m.Name, "instance-%d", &j)
			if j%centres == centre && (m.State == Alive) != (n.nodes[j].gossiper != nil) {
				return false
			}
		}
	}
	return true
}

// BenchmarkLoss reports the cost of losing instances of one data centre, and of a
// network partition of one minute between two halves: the virtual time until all
// agree on the live instances (at most 60 s), and the bytes and CPU time used.
func BenchmarkLoss(b *testing.B) {
	const centres = 6
	for _, size := range []int{42, 100, 340} {
		for _, loss := range []string{"one", "relay", "ten", "centre", "cut"} {
			b.Run(fmt.Sprintf("instances=%d-%s", size, loss), func(b *testing.B) {
				for b.Loop() {
					n := newNetwork(1, size, centres)
					n.startConverged()
					for i := range n.nodes {
						n.after(timekeeper.Millis(n.random.IntN(1000)), func() { n.publishLoad(i) })
					}
					n.runFor(5 * timekeeper.Second)
					for _, nd := range n.nodes {
						nd.peak = 0
					}
					if loss == "cut" {
						n.partitioned = func(a, b int) bool { return (a%centres < 3) != (b%centres < 3) }
						n.runFor(timekeeper.Minute)
						n.partitioned = nil
					} else {
						remaining := map[string]int{"one": 1, "relay": 1, "ten": min(10, size/centres-2), "centre": size}[loss]
						first := centres
						if loss == "centre" {
							first = 0
						}
						for i := first; i < size && remaining > 0; i += centres {
							if loss != "relay" || n.nodes[i].gossiper.isRelay() {
								n.kill(i)
								remaining--
							}
						}
					}
					start, sent, processing := n.now, n.totalBytes(), n.processing
					localAgreed := timekeeper.Millis(-1)
					for n.converged() != nil && n.now < start+timekeeper.Minute {
						n.runFor(100)
						if localAgreed < 0 && n.centreAgrees(0, centres) {
							localAgreed = n.now - start
						}
					}
					allAgreed := n.now - start
					n.runFor(max(10*timekeeper.Second-allAgreed, 0))
					peak := 0
					for _, nd := range n.nodes {
						peak = max(peak, nd.peak)
					}
					span := (n.now - start).Seconds() * float64(size)
					b.ReportMetric(float64(max(localAgreed, 0)), "own-centre-ms")
					b.ReportMetric(float64(allAgreed), "everywhere-ms")
					b.ReportMetric(float64(n.totalBytes()-sent)/span, "B/s")
					b.ReportMetric(float64(peak), "highest-B/s")
					b.ReportMetric(float64((n.processing-processing)/time.Microsecond)/span, "µs/instance-second")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkContacts reports the cost of a new configuration generation when every
// instance publishes a record of 85 bytes on adopting it: the time until all have
// the urgent record of the first instance, the time until all have all records, and
// the bytes that each instance sends in addition to idle traffic.
func BenchmarkContacts(b *testing.B) {
	const centres, limit = 6, 60 * timekeeper.Second
	for _, size := range []int{14, 100, 340} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(1, size, centres)
				n.startConverged()
				n.runFor(5 * timekeeper.Second)
				idleStart := n.totalBytes()
				n.runFor(10 * timekeeper.Second)
				idle := float64(n.totalBytes()-idleStart) / 10 / float64(size)
				start, sent := n.now, n.totalBytes()
				for i, nd := range n.nodes {
					class, delay := Normal, timekeeper.Millis(n.random.IntN(2000))
					if i == 0 {
						class, delay = Urgent, 0
					}
					n.after(delay, func() { _ = nd.gossiper.Publish(n.now, "contact", make([]byte, 85), class) })
				}
				urgent, all := timekeeper.Millis(0), timekeeper.Millis(0)
				for all == 0 && n.now < start+limit {
					n.runFor(100)
					missing, missingUrgent := 0, 0
					for _, nd := range n.nodes {
						for j := range n.nodes {
							if o := nd.gossiper.owners[fmt.Sprintf("instance-%d", j)]; o == nil || o.records["contact"] == nil {
								missing++
								if j == 0 {
									missingUrgent++
								}
							}
						}
					}
					if missingUrgent == 0 && urgent == 0 {
						urgent = n.now - start
					}
					if missing == 0 {
						all = n.now - start
					}
				}
				span := n.now - start
				b.ReportMetric(float64(urgent), "urgent-ms")
				b.ReportMetric(span.Seconds(), "all-s")
				b.ReportMetric(float64(n.totalBytes()-sent)/float64(size)-idle*span.Seconds(), "extra-bytes")
				b.ReportMetric(idle, "idle-B/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// publishShares makes an instance publish what a complete one publishes twice a
// second: a load delta, and a demand and a service record of the given size, each
// with the time in its first bytes.
func (n *network) publishShares(i, wideBytes int) {
	if nd := n.nodes[i]; nd.gossiper != nil {
		for _, kind := range []string{"load", "demand", "service"} {
			size, class := wideBytes, Wide
			if kind == "load" {
				size, class = 244, Load
			}
			data := make([]byte, size)
			binary.BigEndian.PutUint64(data, uint64(n.now))
			_ = nd.gossiper.Publish(n.now, kind, data, class)
		}
	}
	n.after(500*timekeeper.Millisecond, func() { n.publishShares(i, wideBytes) })
}

// ages returns the sorted ages of one kind of record at the other instances of the
// data centre, or at all others, and the share that never arrived.
func (n *network) ages(kind string, everywhere bool) ([]timekeeper.Millis, float64) {
	var ages []timekeeper.Millis
	missing := 0
	for i, nd := range n.nodes {
		for j := range n.nodes {
			if i == j || !everywhere && i%n.centres != j%n.centres {
				continue
			}
			o := nd.gossiper.owners[fmt.Sprintf("instance-%d", j)]
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
// instance publishes a load delta, a demand and a service record twice a second.
func BenchmarkShares(b *testing.B) {
	for _, size := range []struct{ nodes, centres, wide int }{{14, 4, 200}, {14, 4, 700}, {14, 4, 1200}, {42, 6, 200}, {42, 6, 700}, {100, 6, 700}, {340, 6, 200}, {340, 6, 700}} {
		b.Run(fmt.Sprintf("instances=%d-bytes=%d", size.nodes, size.wide), func(b *testing.B) {
			for b.Loop() {
				n := newNetwork(1, size.nodes, size.centres)
				n.startConverged()
				for i := range n.nodes {
					n.after(timekeeper.Millis(i%5)*100, func() { n.publishShares(i, size.wide) })
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
				b.ReportMetric(float64(n.totalBytes())/20/float64(size.nodes), "B/s")
				b.ReportMetric(float64(peak), "highest-B/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
