// Package demonstrator runs a whole deployment on loopback in one process: the
// stand-ins, entry instances, callers, a shift of the request mix, a killed instance
// and a drained target. It checks the promises against what callers and targets saw.
package demonstrator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/renderer"
)

// Options set what the demonstration runs.
type Options struct {
	// Dir is the folder of declarations.
	Dir string
	// Seconds is the length of the load.
	Seconds int
}

// Run runs the demonstration and returns the results of every workspace.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Seconds < 4 || o.Seconds > 600 {
		return Report{}, errors.Errorf("seconds must be from 4 to 600, not %d", o.Seconds)
	}
	declaration, err := declarer.LoadDir(o.Dir)
	if err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startFleet(ctx, declaration)
	if err != nil {
		return Report{}, err
	}
	if err := f.waitReady(ctx); err != nil {
		return Report{}, err
	}
	l := newLoad(f)
	length := time.Duration(o.Seconds) * time.Second
	faults := make(chan string, 1)
	go func() { faults <- f.injectFaults(ctx, length) }()
	l.run(ctx, length)
	drained := <-faults
	l.waitBilled(ctx)
	f.stop()
	report := newReport(f, l, drained)
	report.Timeline = f.timeline()
	return report, nil
}

// timeline merges the events of all instances; those of a killed instance are lost.
func (f *fleet) timeline() renderer.Merged {
	var timelines []renderer.InstanceTimeline
	for _, m := range f.members {
		entry := renderer.InstanceTimeline{Address: m.instance.Addresses().Operator, Timeline: m.instance.Timeline()}
		if !m.alive() {
			entry = renderer.InstanceTimeline{Address: entry.Address, Error: entry.Timeline.Instance + " was killed"}
		}
		timelines = append(timelines, entry)
	}
	return renderer.Merge(timelines)
}
