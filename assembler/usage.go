package assembler

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/gossiper"
	"github.com/gypsumwharf/gypsumwharf/leaser"
	"github.com/gypsumwharf/gypsumwharf/meter"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// usage counts the usage served at this instance, holds copies of other instances'
// counts, and reports for the data centre while it holds the lease.
type usage struct {
	instance   *Instance
	counter    *meter.Counter
	copies     *meter.Copies
	copier     *meter.Copier
	copyFailed atomic.Bool // the last attempt to copy failed
}

func newUsage(i *Instance) *usage {
	source := meter.Source{Instance: i.settings.Instance, Incarnation: i.incarnation}
	u := &usage{instance: i, counter: meter.NewCounter(source, seconds(i.settings.UsageWindowSeconds)), copies: meter.NewCopies()}
	stored := meter.NewStoredCopy(i.platform, i.settings.DataCentre, u.counter)
	u.copier = meter.NewCopier(u.counter, u.copies, stored, u.neighbours)
	i.messenger.Handle(methodUsageCopy, handler(func(_ context.Context, r meter.CopyRequest) (any, error) {
		return struct{}{}, u.copies.Receive(r)
	}))
	i.messenger.Handle(methodUsageCollect, handler(func(_ context.Context, r meter.CollectRequest) (any, error) {
		return meter.AnswerCollect(u.counter, u.copies, i.clock.Now(), r), nil
	}))
	i.duties.add(leaser.LeaseDutyUsageReporter, u.runReporter)
	return u
}

func seconds(n int) timekeeper.Millis { return timekeeper.Millis(n) * timekeeper.Second }

// neighbours returns the other live instances of the data centre in order of name,
// starting after this instance.
func (u *usage) neighbours() []meter.Neighbour {
	live := u.instance.configuration.contacts.livePeers(u.instance.settings.DataCentre)
	first := slices.IndexFunc(live, func(p livePeer) bool { return p.Instance > u.instance.settings.Instance })
	var list []meter.Neighbour
	for n := range live {
		p := live[(n+max(first, 0))%len(live)]
		list = append(list, meter.Neighbour{
			Source: meter.Source{Instance: p.Instance, Incarnation: p.Incarnation}, Peer: remotePeer{u.instance, p.Address},
		})
	}
	return list
}

func (u *usage) members() []meter.Member {
	members := []meter.Member{{Source: u.counter.Source(), Live: true, Peer: localPeer{u}}}
	for _, n := range u.neighbours() {
		members = append(members, meter.Member{Source: n.Source, Live: true, Peer: n.Peer})
	}
	return members
}

// localPeer implements meter.Peer for the reporter's own instance.
type localPeer struct{ usage *usage }

// Copy implements meter.Peer.
func (s localPeer) Copy(_ context.Context, r meter.CopyRequest) error {
	return s.usage.copies.Receive(r)
}

// Collect implements meter.Peer.
func (s localPeer) Collect(_ context.Context, r meter.CollectRequest) (meter.CollectAnswer, error) {
	return meter.AnswerCollect(s.usage.counter, s.usage.copies, s.usage.instance.clock.Now(), r), nil
}

// lineOf returns the usage line to which a request belongs.
func lineOf(r request) meter.Line {
	return meter.Line{Workspace: r.workspace.Name, Key: r.keyName, Model: r.Route.Model, Route: r.Route.Name}
}

// copyTimeout bounds how long the end of an answer waits for a copy of its count. It is
// longer than the time after which a silent peer counts as dead, so that the next peer gets
// its turn. While copying keeps failing, answers wait for one attempt only.
const copyTimeout = gossiper.DefaultDeadAfter + timekeeper.Second

// count adds the usage of an attempt that ran at its target and has a peer copy it.
// Output tokens that were already counted while streaming are not counted again.
func (u *usage) count(ctx context.Context, r request, result dispatcher.Result, counted int64) {
	if result.State < dispatcher.StateRan {
		return
	}
	sequence := u.counter.Add(u.instance.clock.Now(), lineOf(r), meter.Amounts{
		PromptTokens: result.Usage.PromptTokens, CachedTokens: result.Usage.CachedTokens,
		OutputTokens: max(result.Usage.OutputTokens-counted, 0), Calls: 1,
	})
	timeout := copyTimeout
	if u.copyFailed.Load() {
		timeout = messageTimeout
	}
	// The count is copied even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout.Duration())
	defer cancel()
	u.recordCopyResult(u.copier.Flush(ctx, sequence))
}

// recordCopyResult records an event when copying begins to fail.
func (u *usage) recordCopyResult(err error) {
	if failed := err != nil; u.copyFailed.Swap(failed) != failed && failed {
		u.instance.recorder.Record(recorder.Event{Code: recorder.UsageCopyFailed, Cause: err.Error()})
	}
}

// run copies the counts regularly until the context ends.
func (u *usage) run(ctx context.Context) {
	u.instance.every(ctx, meter.CopyInterval, func(ctx context.Context) { u.recordCopyResult(u.copier.Maintain(ctx)) })
}

const (
	// flushTimeout bounds the wait for copies at a planned stop.
	flushTimeout       = 5 * timekeeper.Second
	flushRetryInterval = 50 * timekeeper.Millisecond
)

// flushAtShutdown copies the last counts to a peer and to the store at a planned stop.
// It must run before the instance leaves the membership: after that the reporter treats
// the copies as complete, and counts that are added to them later are never billed.
func (u *usage) flushAtShutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout.Duration())
	defer cancel()
	copied := u.copier.Maintain(ctx)
	for copied != nil && len(u.neighbours()) > 0 && timekeeper.Sleep(ctx, flushRetryInterval) {
		copied = u.copier.Maintain(ctx)
	}
	// Counts that reach neither a peer nor the store are lost with the process.
	if err := meter.StoreUnsealedCounts(ctx, u.instance.platform, u.instance.settings.DataCentre, u.counter, u.copies); err != nil {
		u.recordCopyResult(copied)
	}
}

// runReporter seals and reports windows while the lease is held.
func (u *usage) runReporter(ctx context.Context, t leaser.Tenure) {
	length := seconds(u.instance.settings.UsageWindowSeconds)
	reporter := meter.NewReporter(meter.ReporterOptions{
		DataCentre: u.instance.settings.DataCentre, Window: length, Delay: length / 6,
		SendTimeout: timekeeper.Millis(u.instance.settings.LeaseMilliseconds) / 5,
	}, u.instance.platform, u.instance.platform, t)
	reportFailing := false
	u.instance.every(ctx, min(length/4, timekeeper.Second), func(ctx context.Context) {
		done, err := reporter.Step(ctx, u.instance.clock.Now(), u.members())
		for _, window := range done.Sealed {
			u.instance.recorder.Record(recorder.Event{Code: recorder.WindowSealed, Cause: window})
		}
		for _, window := range done.Reported {
			u.instance.recorder.Record(recorder.Event{Code: recorder.WindowReported, Cause: window})
		}
		if failed := err != nil && ctx.Err() == nil; failed != reportFailing {
			reportFailing = failed
			if failed {
				u.instance.recorder.Record(recorder.Event{Code: recorder.WindowLate, Cause: err.Error()})
			}
		}
	})
}

// usageSink holds back the end of an answer until its usage has a copy: the last event
// of a stream, or a whole body. It adds the tokens of a running stream to the counter
// every copy interval, so that a crash of the instance loses no more than that.
type usageSink struct {
	next      dispatcher.Sink
	usage     *usage
	request   request
	stream    bool
	heldBack  []byte
	tokens    int64
	counted   int64
	nextCount timekeeper.Millis
}

func (u *usage) sink(r request, next dispatcher.Sink) *usageSink {
	return &usageSink{next: next, usage: u, request: r, nextCount: u.instance.clock.Now() + meter.CopyInterval}
}

// countToken counts one token, and once per interval adds the tokens to the counter,
// which the copier copies to the peer.
func (s *usageSink) countToken() {
	s.tokens++
	now := s.usage.instance.clock.Now()
	if now < s.nextCount {
		return
	}
	s.usage.counter.Add(now, lineOf(s.request), meter.Amounts{OutputTokens: s.tokens - s.counted})
	s.counted, s.nextCount = s.tokens, now+meter.CopyInterval
}

// Begin implements dispatcher.Sink.
func (s *usageSink) Begin(status int, header http.Header, stream bool) error {
	s.stream = stream
	return s.next.Begin(status, header, stream)
}

// Write implements dispatcher.Sink.
func (s *usageSink) Write(data []byte) error {
	if !s.stream || dispatcher.IsEnd(data) {
		s.heldBack = append(s.heldBack, data...)
		return nil
	}
	if dispatcher.IsToken(data) {
		s.countToken()
	}
	return s.next.Write(data)
}

// release relays the end of a complete answer.
func (s *usageSink) release(result dispatcher.Result) dispatcher.Result {
	if result.State != dispatcher.StateAnswered || len(s.heldBack) == 0 {
		return result
	}
	if err := s.next.Write(s.heldBack); err != nil {
		result.Err = dispatcher.ErrCallerGone
	}
	return result
}
