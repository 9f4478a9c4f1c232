package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// scriptedStore answers calls with a list of outcomes, then ends the test.
type scriptedStore struct {
	outcomes []error
	calls    []string
	end      context.CancelFunc
}

func (s *scriptedStore) next(call string) error {
	s.calls = append(s.calls, call)
	if len(s.outcomes) == 0 {
		s.end()
		return context.Canceled
	}
	err := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return err
}

func (s *scriptedStore) Snapshot(context.Context, string) ([]storer.Object, storer.Version, error) {
	return []storer.Object{{Name: "k/a", Version: 5}}, 5, s.next("list")
}

func (s *scriptedStore) Get(context.Context, string) (storer.Object, error) {
	return storer.Object{Name: "k/large", Version: 9, Value: []byte("large")}, s.next("get")
}

func (s *scriptedStore) StaleSnapshot(context.Context, string) ([]storer.Object, error) {
	return nil, nil
}

func (s *scriptedStore) Changes(_ context.Context, _ string, after storer.Version, _ timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	return []storer.Change{{Object: storer.Object{Name: "k/b", Version: after + 1}}}, after + 1, s.next("follow")
}

// Guards against changes missed when the history is gone, and against a call for
// changes as the first one after an outage, which would detect the recovery late.
func TestFollowerListsWhenItMayHaveMissedChanges(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes  []error
		calls     []string
		recovered []bool
	}{
		"calm":          {[]error{nil, nil, nil}, []string{"list", "follow", "follow"}, []bool{false, false, false}},
		"history gone":  {[]error{nil, storer.ErrCompacted, nil}, []string{"list", "follow", "list"}, []bool{false, false}},
		"store away":    {[]error{nil, storer.ErrUnavailable, storer.ErrUnavailable, nil, nil}, []string{"list", "follow", "list", "list", "follow"}, []bool{false, true, false}},
		"away at start": {[]error{storer.ErrUnavailable, nil, nil}, []string{"list", "list", "follow"}, []bool{true, false}},
		"gone and away": {[]error{nil, storer.ErrCompacted, storer.ErrUnavailable, nil}, []string{"list", "follow", "list", "list"}, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &scriptedStore{outcomes: c.outcomes, end: cancel}
				var recovered []bool
				lost := 0
				follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second}, func(error) { lost++ }).Run(ctx, func(update follower.Update) {
					recovered = append(recovered, update.AfterFailure)
				})
				assert.DeepEqual(t, s.calls[:len(s.calls)-1], c.calls)
				assert.DeepEqual(t, recovered, c.recovered)
				assert.Check(t, lost <= 1, "an outage is reported once, not %d times", lost)
			})
		})
	}
}

// eraStore is a store that comes back from a copy after its second answer.
type eraStore struct{ scriptedStore }

func (s *eraStore) Snapshot(ctx context.Context, kind string) ([]storer.Object, storer.Version, error) {
	objects, _, err := s.scriptedStore.Snapshot(ctx, kind)
	era := storer.Era(3)
	if len(s.calls) > 2 {
		era = 4
	}
	version, _ := storer.NewVersion(era, 5) // Is in range.
	return objects, version, err
}

// Guards against entries that are dropped at once because the copy from which the store has
// come back lacks them, and against changes of another era that are relayed.
func TestANewEraIsFollowedAsAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &eraStore{scriptedStore{outcomes: []error{nil, storer.ErrCompacted, nil}, end: cancel}}
		var updates []follower.Update
		f := follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second}, func(error) {})
		f.Run(ctx, func(u follower.Update) { updates = append(updates, u) })
		assert.DeepEqual(t, s.calls, []string{"list", "follow", "list", "follow"})
		assert.Assert(t, updates[1].Complete && updates[1].AfterFailure)
		assert.Assert(t, updates[1].RecoveredAt != timekeeper.Reading{})
		_, ok := f.Since(updates[0].Version)
		assert.Check(t, !ok, "changes since another era")
		_, ok = f.Since(updates[1].Version)
		assert.Check(t, ok)
	})
}

// step is how a call to timedStore ends, and after which time.
type step struct {
	after timekeeper.Millis
	err   error
}

// timedStore answers calls as listed, then ends the test.
type timedStore struct {
	scriptedStore
	steps []step
}

func (s *timedStore) wait(ctx context.Context) error {
	if len(s.steps) == 0 {
		s.end()
		return context.Canceled
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if !timekeeper.Sleep(ctx, next.after) {
		return storer.ErrUnavailable // The call timed out.
	}
	return next.err
}

func (s *timedStore) Snapshot(ctx context.Context, _ string) ([]storer.Object, storer.Version, error) {
	return nil, 5, s.wait(ctx)
}

func (s *timedStore) Changes(ctx context.Context, _ string, after storer.Version, _ timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	return nil, after, s.wait(ctx)
}

// Guards against taking a call that was cut off for an outage in which entries expire:
// entries that are removed afterwards would stay in use. Guards as well against taking
// an outage for a call that was cut off: entries that expired in it would be dropped.
func TestOnlyAnOutageCanMakeEntriesExpire(t *testing.T) {
	const silent = timekeeper.Minute
	ok := func(after timekeeper.Millis) step { return step{after, nil} }
	lost := func(after timekeeper.Millis) step { return step{after, storer.ErrUnavailable} }
	for name, c := range map[string]struct {
		steps     []step
		recovered []bool
	}{
		"watch cut off":                        {[]step{ok(5), lost(300), ok(5)}, []bool{false, false}},
		"watch cut off at its end":             {[]step{ok(5), lost(1990), ok(5)}, []bool{false, false}},
		"watches cut off in each second":       {[]step{ok(5), lost(900), ok(5), lost(900), ok(5), lost(900), ok(5)}, []bool{false, false, false, false}},
		"cut off, then a slow listing":         {[]step{ok(5), lost(300), ok(900)}, []bool{false, false}},
		"history compacted between cuts":       {[]step{ok(5), lost(300), ok(5), {100, storer.ErrCompacted}, ok(5), lost(300), ok(5)}, []bool{false, false, false, false}},
		"outage":                               {[]step{ok(5), lost(300), lost(5), lost(5), lost(5), ok(5)}, []bool{false, true}},
		"outage that begins after a wait":      {[]step{ok(5), ok(2000), lost(5), lost(5), ok(5)}, []bool{false, false, true}},
		"silent watch":                         {[]step{ok(5), ok(silent), ok(5)}, []bool{false, true}},
		"silent listings after a cut":          {[]step{ok(5), lost(300), ok(silent), ok(5)}, []bool{false, true}},
		"away at the start":                    {[]step{ok(silent), ok(5)}, []bool{true}},
		"outage between two cuts":              {[]step{ok(5), lost(300), ok(5), ok(silent), ok(5), lost(300), ok(5)}, []bool{false, false, true, false}},
		"reset after a wait that was exceeded": {[]step{ok(5), lost(2500), ok(5)}, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &timedStore{scriptedStore{end: cancel}, c.steps}
				var recovered []bool
				options := follower.Options{Wait: 2 * timekeeper.Second}
				follower.New(s, timekeeper.System(), "k", options, func(error) {}).Run(ctx, func(u follower.Update) {
					recovered = append(recovered, u.RecoveredAt != (timekeeper.Reading{}))
				})
				assert.DeepEqual(t, recovered, c.recovered)
			})
		})
	}
}

// suspendingStore suspends the process during its first call for changes.
type suspendingStore struct {
	scriptedStore
	clock *timekeeper.Manual
}

func (s *suspendingStore) Changes(ctx context.Context, kind string, after storer.Version, wait timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	if len(s.calls) == 1 {
		s.clock.Suspend(3 * timekeeper.Second)
	}
	return s.scriptedStore.Changes(ctx, kind, after, wait)
}

// Guards against an instance that knows an old state for the length of another wait after
// it was suspended during a call, although the store would answer at once.
func TestFollowerListsAfterASuspension(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &suspendingStore{scriptedStore{outcomes: make([]error, 4), end: cancel}, timekeeper.NewManual(1_000_000)}
	options := follower.Options{Wait: 1500}
	follower.New(s, s.clock.Clock(), "k", options, func(error) {}).Run(ctx, func(follower.Update) {})
	assert.DeepEqual(t, s.calls[:4], []string{"list", "follow", "list", "follow"})
}

// silentStore never answers a call for changes.
type silentStore struct{ scriptedStore }

func (s *silentStore) Changes(ctx context.Context, _ string, _ storer.Version, _ timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	s.calls = append(s.calls, "follow")
	<-ctx.Done()
	return nil, 0, storer.ErrUnavailable
}

// Guards against waiting forever on a connection that became unresponsive.
func TestAnUnansweredWaitTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &silentStore{scriptedStore{outcomes: []error{nil, nil}, end: cancel}}
		begin := timekeeper.System().Read()
		follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second}, func(error) {}).Run(ctx, func(update follower.Update) {
			if update.AfterFailure {
				cancel()
			}
		})
		assert.DeepEqual(t, s.calls[:3], []string{"list", "follow", "list"})
		assert.Assert(t, timekeeper.System().Read().Since(begin) < 2*timekeeper.Second)
	})
}

type memberFleet struct{}

func (memberFleet) FollowsRelays() bool { return true }
func (memberFleet) IsRelay() bool       { return false }

type relayFleet struct{}

func (relayFleet) FollowsRelays() bool { return false }
func (relayFleet) IsRelay() bool       { return true }

// Guards against a relay that waits so long for changes that what it sends is too old
// to be used.
func TestRelaysAskOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s := &waitingStore{scriptedStore{outcomes: make([]error, 1000), end: cancel}}
		f := follower.New(s, timekeeper.System(), "k", follower.Options{Wait: 2 * timekeeper.Second}, func(error) {})
		f.Join(relayFleet{})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx, func(follower.Update) {}) }()
		for ctx.Err() == nil {
			time.Sleep(90 * time.Millisecond)
			if changes, ok := f.Since(5); ok {
				assert.Assert(t, changes.Age <= timekeeper.Second, "%s old", changes.Age)
			}
		}
		<-done
	})
}

// waitingStore answers a call for changes at the end of its wait.
type waitingStore struct{ scriptedStore }

func (p *waitingStore) Changes(_ context.Context, _ string, after storer.Version, wait timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	time.Sleep(wait.Duration())
	return nil, after, p.next("follow")
}

// Guards against calls to the store that a relay already makes, against the use of
// stale changes, and against a follower that waits for a stopped relay.
func TestRelayedChangesReplaceStoreCalls(t *testing.T) {
	changes := func(at storer.Version, items ...follower.Item) follower.News {
		return follower.News{From: 5, At: at, Age: 100, Regained: -1, Items: items}
	}
	old := changes(6)
	old.Age = 10 * timekeeper.Second
	gap := changes(7)
	gap.From = 6
	recent := changes(6)
	recent.Regained = 300
	for name, c := range map[string]struct {
		offered   []follower.News
		calls     []string
		versions  []storer.Version
		recovered []bool
	}{
		"fresh":               {[]follower.News{changes(6), changes(6)}, []string{"list"}, []storer.Version{5, 6, 6}, []bool{false, false, false}},
		"a large value":       {[]follower.News{changes(9, follower.Item{Name: "k/large", Version: 9})}, []string{"list", "get"}, []storer.Version{5, 9}, []bool{false, false}},
		"a large value twice": {[]follower.News{changes(9, follower.Item{Name: "k/large", Version: 9}), changes(9, follower.Item{Name: "k/large", Version: 9})}, []string{"list", "get"}, []storer.Version{5, 9, 9}, []bool{false, false, false}},
		"a newer than it":     {[]follower.News{changes(10, follower.Item{Name: "k/large", Version: 10})}, []string{"list", "get", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"old":                 {[]follower.News{old}, []string{"list", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"with a gap":          {[]follower.News{gap}, []string{"list", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"none":                {nil, []string{"list", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"store was away":      {[]follower.News{recent, recent}, []string{"list"}, []storer.Version{5, 6, 6}, []bool{false, true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := &scriptedStore{outcomes: make([]error, 100), end: cancel}
				f := follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second}, func(error) {})
				f.Join(memberFleet{})
				var versions []storer.Version
				var recovered []bool
				begin := timekeeper.System().Read()
				f.Run(ctx, func(update follower.Update) {
					isRecent := update.RecoveredAt != (timekeeper.Reading{})
					versions, recovered = append(versions, update.Version), append(recovered, isRecent)
					if isRecent {
						assert.Equal(t, timekeeper.System().Read().Since(update.RecoveredAt), timekeeper.Millis(300))
					}
					if len(versions) == len(c.versions) {
						cancel()
						return
					}
					if next := len(versions) - 1; next < len(c.offered) {
						f.Offer(c.offered[next], timekeeper.System().Read())
					}
				})
				assert.DeepEqual(t, s.calls, c.calls)
				assert.DeepEqual(t, versions, c.versions)
				assert.DeepEqual(t, recovered, c.recovered)
				assert.Assert(t, timekeeper.System().Read().Since(begin) < timekeeper.Second)
			})
		})
	}
}

// Guards against one call for each change when many targets change at once.
func TestASeriesOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		s := &scriptedStore{outcomes: make([]error, 1000), end: cancel}
		follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second, Pause: 250}, func(error) {}).Run(ctx, func(follower.Update) {})
		assert.Check(t, len(s.calls) <= 10, "%d calls in 2 s", len(s.calls))
	})
}

// pagedStore lists its objects in pages, and reports each.
type pagedStore struct {
	scriptedStore
	pages []timekeeper.Millis // How long each takes.
}

func (s *pagedStore) Snapshot(ctx context.Context, _ string) ([]storer.Object, storer.Version, error) {
	s.calls = append(s.calls, "list")
	for _, duration := range s.pages {
		if !timekeeper.Sleep(ctx, duration) {
			return nil, 0, storer.ErrUnavailable
		}
		storer.ReportProgress(ctx)
	}
	return nil, 5, nil
}

// Guards against listings that are given up and begun anew, again and again, because
// many instances list a large store at once; and against waiting for a silent store.
func TestListingsTakeAsLongAsTheyProgress(t *testing.T) {
	for name, c := range map[string]struct {
		pages []timekeeper.Millis
		calls []string
	}{
		"long":            {[]timekeeper.Millis{1400, 1400, 1400, 1400}, []string{"list", "follow"}},
		"silent":          {[]timekeeper.Millis{1600}, []string{"list", "list", "list"}},
		"becoming silent": {[]timekeeper.Millis{300, 1600}, []string{"list", "list", "list"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
				defer cancel()
				s := &pagedStore{scriptedStore{end: cancel}, c.pages}
				follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second}, func(error) {}).Run(ctx, func(follower.Update) {})
				assert.DeepEqual(t, s.calls[:len(c.calls)], c.calls)
			})
		})
	}
}

// boundedStore returns some 500 changes at once of those that were written after its
// listing.
type boundedStore struct {
	scriptedStore
	written storer.Version
}

func (s *boundedStore) Changes(ctx context.Context, _ string, after storer.Version, wait timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	s.calls = append(s.calls, "follow")
	if after == s.written {
		timekeeper.Sleep(ctx, wait)
	}
	var changes []storer.Change
	for v := after + 1; v <= min(after+500, s.written); v++ {
		changes = append(changes, storer.Change{Object: storer.Object{Name: "k/a", Version: v}})
	}
	return changes, after + storer.Version(len(changes)), nil
}

// Guards against a follower that falls behind when the store returns its changes in
// parts, and against taking such a part for the newest state.
func TestChangesInPartsAreFollowedToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s := &boundedStore{scriptedStore{outcomes: make([]error, 1), end: cancel}, 6105}
		begin := timekeeper.System().Read()
		options := follower.Options{Wait: timekeeper.Second, Pause: 500}
		follower.New(s, timekeeper.System(), "k", options, func(error) {}).Run(ctx, func(u follower.Update) {
			now := timekeeper.System().Read()
			if !u.Complete && u.Version < s.written {
				assert.Check(t, u.AsOf == begin, "version %d counts as newer than the listing", u.Version)
				time.Sleep(10 * time.Millisecond) // The changes take time to apply.
				return
			}
			if u.Version == s.written {
				assert.Check(t, now.Since(begin) <= timekeeper.Second, "known after %s", now.Since(begin))
				assert.Check(t, u.AsOf != begin)
				cancel()
			}
		})
		assert.Check(t, len(s.calls) == 14, "%d calls", len(s.calls))
	})
}

// lateStore never answers the listings that it got before a time, and counts them.
type lateStore struct {
	scriptedStore
	answersFrom time.Time
	mu          sync.Mutex
	listings    int
}

func (s *lateStore) Snapshot(ctx context.Context, _ string) ([]storer.Object, storer.Version, error) {
	s.mu.Lock()
	s.listings++
	s.mu.Unlock()
	if time.Now().Before(s.answersFrom) {
		<-ctx.Done()
		return nil, 0, storer.ErrUnavailable
	}
	return nil, 5, nil
}

func (s *lateStore) Changes(ctx context.Context, _ string, after storer.Version, _ timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// Guards against a configuration that stays unconfirmed though the store answers again,
// because a call from the time when it was silent is waited for; against many calls on a
// silent store; and against more than one call on a store that answers.
func TestAListingIsSentBesideASilentOne(t *testing.T) {
	const patience = 500 * timekeeper.Millisecond
	for name, c := range map[string]struct {
		silent   time.Duration
		patience timekeeper.Millis
		latest   time.Duration // From when the store answers.
		most     int           // Listings.
	}{
		"answers":                 {0, patience, 0, 1},
		"short silence":           {200 * time.Millisecond, patience, 300 * time.Millisecond, 2},
		"shorter than a call":     {1200 * time.Millisecond, patience, 400 * time.Millisecond, 5},
		"longer than a call":      {4 * time.Second, patience, time.Second, 12},
		"a minute":                {time.Minute, patience, time.Second, 140},
		"kinds with many objects": {200 * time.Millisecond, 0, 1500 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answersFrom := time.Now().Add(c.silent)
				s := &lateStore{answersFrom: answersFrom}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second, Patience: c.patience}, func(error) {}).Run(ctx, func(u follower.Update) {
					assert.Check(t, time.Since(answersFrom) <= c.latest, "after %s", time.Since(answersFrom))
					assert.Check(t, s.listings <= c.most, "%d listings", s.listings)
					assert.Check(t, u.Complete)
					cancel()
				})
				assert.ErrorIs(t, ctx.Err(), context.Canceled)
			})
		})
	}
}

// forgetfulStore has lost the history of every version by the time it is asked for, until it
// has been listed often enough.
type forgetfulStore struct {
	scriptedStore
	listings, forgotten int
}

func (s *forgetfulStore) Snapshot(context.Context, string) ([]storer.Object, storer.Version, error) {
	s.listings++
	return nil, 5, nil
}

func (s *forgetfulStore) Changes(ctx context.Context, _ string, after storer.Version, wait timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	if s.listings < s.forgotten {
		return nil, 0, storer.ErrCompacted
	}
	timekeeper.Sleep(ctx, wait)
	return nil, after, ctx.Err()
}

// Guards against a store that is listed without a pause because it has the history of no
// version, and against a wait at the first time, when a listing is all that is needed.
func TestListingsForLostHistoryArePaced(t *testing.T) {
	for name, c := range map[string]struct {
		forgotten int
		most      int
	}{
		"once":       {2, 2},
		"some times": {4, 4},
		"each time":  {1 << 30, 60},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				s := &forgetfulStore{forgotten: c.forgotten}
				begun, second := time.Now(), time.Duration(0)
				follower.New(s, timekeeper.System(), "k", follower.Options{Wait: timekeeper.Second}, func(error) {}).Run(ctx, func(u follower.Update) {
					if u.Complete && s.listings == 2 {
						second = time.Since(begun)
					}
					if s.listings > c.most {
						t.Errorf("%d listings", s.listings)
						cancel()
					}
				})
				assert.Equal(t, second, time.Duration(0))
			})
		})
	}
}
