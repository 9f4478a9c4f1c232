package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/follower"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// script answers calls with the outcomes of a list, then ends the test.
type script struct {
	outcomes []error
	calls    []string
	end      context.CancelFunc
}

func (s *script) next(call string) error {
	s.calls = append(s.calls, call)
	if len(s.outcomes) == 0 {
		s.end()
		return context.Canceled
	}
	err := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return err
}

func (s *script) Snapshot(context.Context, string) ([]storer.Object, storer.Version, error) {
	return []storer.Object{{Name: "k/a", Version: 5}}, 5, s.next("list")
}

func (s *script) Get(context.Context, string) (storer.Object, error) {
	return storer.Object{Name: "k/large", Version: 9, Value: []byte("large")}, s.next("get")
}

func (s *script) Glance(context.Context, string) ([]storer.Object, error) { return nil, nil }

func (s *script) Changes(_ context.Context, _ string, after storer.Version, _ timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	return []storer.Change{{Object: storer.Object{Name: "k/b", Version: after + 1}}}, after + 1, s.next("follow")
}

// Guards against changes missed when the history is gone, and against a wait as
// the first call after an outage, which would tell of the return late.
func TestFollowerListsWhenItMayHaveMissedChanges(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes []error
		calls    []string
		regained []bool
	}{
		"calm":          {[]error{nil, nil, nil}, []string{"list", "follow", "follow"}, []bool{false, false, false}},
		"history gone":  {[]error{nil, storer.ErrHistoryGone, nil}, []string{"list", "follow", "list"}, []bool{false, false}},
		"store away":    {[]error{nil, storer.ErrUnavailable, storer.ErrUnavailable, nil, nil}, []string{"list", "follow", "list", "list", "follow"}, []bool{false, true, false}},
		"away at start": {[]error{storer.ErrUnavailable, nil, nil}, []string{"list", "list", "follow"}, []bool{true, false}},
		"gone and away": {[]error{nil, storer.ErrHistoryGone, storer.ErrUnavailable, nil}, []string{"list", "follow", "list", "list"}, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &script{outcomes: c.outcomes, end: cancel}
				var regained []bool
				lost := 0
				follower.New(s, timekeeper.System(), "k", timekeeper.Second, 0, func(error) { lost++ }).Run(ctx, func(sight follower.Sight) {
					regained = append(regained, sight.Regained)
				})
				assert.DeepEqual(t, s.calls[:len(s.calls)-1], c.calls)
				assert.DeepEqual(t, regained, c.regained)
				assert.Check(t, lost <= 1, "an outage is told once, not %d times", lost)
			})
		})
	}
}

// silent never answers.
type silent struct{ script }

func (s *silent) Changes(ctx context.Context, _ string, _ storer.Version, _ timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	s.calls = append(s.calls, "follow")
	<-ctx.Done()
	return nil, 0, storer.ErrUnavailable
}

// Guards against a connection that went silent and is waited on for good.
func TestASilentWaitIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &silent{script{outcomes: []error{nil, nil}, end: cancel}}
		begin := timekeeper.System().Read()
		follower.New(s, timekeeper.System(), "k", timekeeper.Second, 0, func(error) {}).Run(ctx, func(sight follower.Sight) {
			if sight.Regained {
				cancel()
			}
		})
		assert.DeepEqual(t, s.calls[:3], []string{"list", "follow", "list"})
		assert.Assert(t, timekeeper.System().Read().Since(begin) < 2*timekeeper.Second)
	})
}

type listening struct{}

func (listening) Listens() bool { return true }
func (listening) Relays() bool  { return false }

type relaying struct{}

func (relaying) Listens() bool { return false }
func (relaying) Relays() bool  { return true }

// Guards against a relay that waits so long for changes that what it tells is too
// old to be used.
func TestRelaysAskOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s := &patient{script{outcomes: make([]error, 1000), end: cancel}}
		f := follower.New(s, timekeeper.System(), "k", 2*timekeeper.Second, 0, func(error) {})
		f.Join(relaying{})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx, func(follower.Sight) {}) }()
		for ctx.Err() == nil {
			time.Sleep(90 * time.Millisecond)
			if news, ok := f.Since(5); ok {
				assert.Assert(t, news.Age <= timekeeper.Second, "%s old", news.Age)
			}
		}
		<-done
	})
}

// patient answers a wait at its end.
type patient struct{ script }

func (p *patient) Changes(_ context.Context, _ string, after storer.Version, wait timekeeper.Millis) ([]storer.Change, storer.Version, error) {
	time.Sleep(wait.Duration())
	return nil, after, p.next("follow")
}

// Guards against calls on the store that another instance makes already, against news
// that are trusted although nobody confirmed them, and against a follower that
// waits for a relay that has died.
func TestNewsStandInForTheStore(t *testing.T) {
	news := func(at storer.Version, items ...follower.Item) follower.News {
		return follower.News{From: 5, At: at, Age: 100, Regained: -1, Items: items}
	}
	old := news(6)
	old.Age = 10 * timekeeper.Second
	gap := news(7)
	gap.From = 6
	back := news(6)
	back.Regained = 300
	for name, c := range map[string]struct {
		told  []follower.News
		calls []string
		at    []storer.Version
		back  []bool
	}{
		"fresh":               {[]follower.News{news(6), news(6)}, []string{"list"}, []storer.Version{5, 6, 6}, []bool{false, false, false}},
		"a large value":       {[]follower.News{news(9, follower.Item{Name: "k/large", Version: 9})}, []string{"list", "get"}, []storer.Version{5, 9}, []bool{false, false}},
		"a large value twice": {[]follower.News{news(9, follower.Item{Name: "k/large", Version: 9}), news(9, follower.Item{Name: "k/large", Version: 9})}, []string{"list", "get"}, []storer.Version{5, 9, 9}, []bool{false, false, false}},
		"a newer than it":     {[]follower.News{news(10, follower.Item{Name: "k/large", Version: 10})}, []string{"list", "get", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"old":                 {[]follower.News{old}, []string{"list", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"with a gap":          {[]follower.News{gap}, []string{"list", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"none":                {nil, []string{"list", "follow"}, []storer.Version{5, 6}, []bool{false, false}},
		"store was away":      {[]follower.News{back, back}, []string{"list"}, []storer.Version{5, 6, 6}, []bool{false, true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := &script{outcomes: make([]error, 100), end: cancel}
				f := follower.New(s, timekeeper.System(), "k", timekeeper.Second, 0, func(error) {})
				f.Join(listening{})
				var at []storer.Version
				var told []bool
				begun := timekeeper.System().Read()
				f.Run(ctx, func(sight follower.Sight) {
					back := sight.Back != (timekeeper.Reading{})
					at, told = append(at, sight.At), append(told, back)
					if back {
						assert.Equal(t, timekeeper.System().Read().Since(sight.Back), timekeeper.Millis(300))
					}
					if len(at) == len(c.at) {
						cancel()
						return
					}
					if next := len(at) - 1; next < len(c.told) {
						f.Offer(c.told[next], timekeeper.System().Read())
					}
				})
				assert.DeepEqual(t, s.calls, c.calls)
				assert.DeepEqual(t, at, c.at)
				assert.DeepEqual(t, told, c.back)
				assert.Assert(t, timekeeper.System().Read().Since(begun) < timekeeper.Second)
			})
		})
	}
}

// Guards against one call for each change when many targets change at once.
func TestASeriesOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		s := &script{outcomes: make([]error, 1000), end: cancel}
		follower.New(s, timekeeper.System(), "k", timekeeper.Second, 250, func(error) {}).Run(ctx, func(follower.Sight) {})
		assert.Check(t, len(s.calls) <= 10, "%d calls in 2 s", len(s.calls))
	})
}
