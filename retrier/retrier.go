// Package retrier decides whether and when a request may be retried: within the
// retry budgets of the workspace and the target, within the deadline, and for
// non-idempotent work only if nothing was sent.
package retrier

import (
	"container/list"
	"hash/fnv"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Reasons against a retry.
var (
	// ErrUnsafe means that the work is not idempotent and may have run.
	ErrUnsafe = errors.New("work may have run and is not idempotent")
	// ErrAttempts means that the request has used all its attempts.
	ErrAttempts = errors.New("request has no attempts left")
	// ErrDeadline means that a retry could not finish before the deadline.
	ErrDeadline = errors.New("deadline leaves no time for a retry")
	// ErrWorkspaceBudget means that the workspace's retry budget is spent.
	ErrWorkspaceBudget = errors.New("retry budget of the workspace is spent")
	// ErrTargetBudget means that the retry budget of the failed target is spent.
	ErrTargetBudget = errors.New("retry budget of the target is spent")
)

// State is how far an attempt went.
type State string

// States of an attempt.
const (
	NotSent         State = "not-sent"
	PossiblyRunning State = "possibly-running"
	Ran             State = "ran"
	Answered        State = "answered"
)

// Attempt is a failed attempt of a request that might be retried.
type Attempt struct {
	Workspace  string
	Target     string // The target that failed.
	Number     int    // 1 for the first attempt of the request.
	State      State
	Idempotent bool
	Deadline   timekeeper.Millis
	Expected   timekeeper.Millis // Expected duration of the next attempt.
}

// Retrier holds the retry budgets of one instance. It is safe for concurrent use.
type Retrier struct {
	options Options

	mu         sync.Mutex
	random     *rand.Rand
	workspaces *budgets
	targets    *budgets
}

// New returns a retrier with full reserves.
func New(o Options) *Retrier {
	o = o.withDefaults()
	h := fnv.New64a()
	_, _ = h.Write([]byte(o.Instance))
	return &Retrier{
		options:    o,
		random:     rand.New(rand.NewPCG(o.Seed, h.Sum64())),
		workspaces: newBudgets(o),
		targets:    newBudgets(o),
	}
}

// Started adds the share of a new request to the budgets of its workspace and target.
func (r *Retrier) Started(workspace, target string, now timekeeper.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workspaces.get(workspace, now).earn(r.options)
	r.targets.get(target, now).earn(r.options)
}

// Retry takes a retry from both budgets and returns when to send it, or an error that
// says why it is not allowed.
func (r *Retrier) Retry(a Attempt, now timekeeper.Millis) (timekeeper.Millis, error) {
	if err := a.checkSafe(); err != nil {
		return 0, err
	}
	if a.Number >= r.options.MaxAttempts {
		return 0, ErrAttempts
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := now + r.backoff(a.Number)
	if at+a.Expected > a.Deadline {
		return 0, ErrDeadline
	}
	workspace, target := r.workspaces.get(a.Workspace, now), r.targets.get(a.Target, now)
	switch {
	case workspace.tokens < 1:
		return 0, ErrWorkspaceBudget
	case target.tokens < 1:
		return 0, ErrTargetBudget
	}
	workspace.tokens--
	target.tokens--
	return at, nil
}

func (a Attempt) checkSafe() error {
	switch a.State {
	case NotSent:
		return nil
	case PossiblyRunning, Ran:
		if a.Idempotent {
			return nil
		}
	case Answered: // The caller has its answer; a retry would give a second one.
	}
	return ErrUnsafe
}

// backoff returns a random delay between half and all of an exponentially growing span.
func (r *Retrier) backoff(number int) timekeeper.Millis {
	span := r.options.BaseDelay << min(number-1, maxDoublings)
	span = min(span, r.options.MaxDelay)
	return span/2 + timekeeper.Millis(r.random.Int64N(int64(span/2)+1))
}

// budget is a token bucket: requests add tokens, retries take them.
type budget struct {
	name           string
	tokens         float64
	reserveGranted timekeeper.Millis
}

func (b *budget) earn(o Options) { b.tokens = min(b.tokens+o.Share, o.Burst) }

// budgets is a bounded LRU cache of budgets by name.
type budgets struct {
	options Options
	entries map[string]*list.Element
	order   *list.List // Most recently used first.
}

func newBudgets(o Options) *budgets {
	return &budgets{options: o, entries: map[string]*list.Element{}, order: list.New()}
}

// get returns the budget of a name. A budget is refilled up to its reserve every
// ReserveTime, so that a workspace with few requests can still retry one.
func (b *budgets) get(name string, now timekeeper.Millis) *budget {
	element, ok := b.entries[name]
	if !ok {
		if b.order.Len() >= b.options.MaxEntries {
			oldest := b.order.Back()
			delete(b.entries, oldest.Value.(*budget).name)
			b.order.Remove(oldest)
		}
		element = b.order.PushFront(&budget{name: name, tokens: b.options.Reserve, reserveGranted: now})
		b.entries[name] = element
	}
	b.order.MoveToFront(element)
	item := element.Value.(*budget)
	if now-item.reserveGranted >= b.options.ReserveTime {
		item.tokens, item.reserveGranted = max(item.tokens, b.options.Reserve), now
	}
	return item
}
