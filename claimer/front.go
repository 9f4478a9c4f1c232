package claimer

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	maxAttempts    = 6
	initialBackoff = 100 * timekeeper.Millisecond
)

// Ran describes whether the request of a claim that was not granted has run.
type Ran string

// Values of Ran.
const (
	NotRun     Ran = "not-run"
	RanUnknown Ran = "unknown"
	HasRun     Ran = "ran"
)

// Outcome is the result of a claim.
type Outcome struct {
	// State is one of the exported states; only StateGranted lets the request run.
	State string
	// Grant is valid when State is StateGranted.
	Grant Grant
	// Answer is the stored answer when State is StateAnswered.
	Answer []byte
	Ran    Ran
	Reason string
}

// Grant permits one run of one request, which must start before the deadline.
type Grant struct {
	key      string
	id       string
	Deadline timekeeper.Millis
}

// Valid reports whether the request may still be started. Check it immediately
// before sending.
func (g Grant) Valid(now timekeeper.Millis) bool { return now < g.Deadline }

// Claim requests a grant for the only run of a key. The digest is that of the request
// body; a claim still in progress after the deadline becomes unknown.
func (c *Claimer) Claim(ctx context.Context, workspace, key, digest string, deadline timekeeper.Millis) Outcome {
	c.mu.Lock()
	c.operations++
	m := ClaimMessage{Key: KeyOf(workspace, key), ID: c.options.Self.ID + "/" + strconv.FormatInt(c.operations, 36), Digest: digest, Deadline: deadline}
	c.mu.Unlock()
	var a ClaimAnswer
	for attempt := range maxAttempts {
		if attempt > 0 {
			c.options.Sleep(ctx, initialBackoff<<(attempt-1))
		}
		var err error
		a, err = c.callOwner(ctx, MethodClaim, m.Key, m, func() ClaimAnswer { return c.grant(ctx, m) })
		if err != nil {
			a = ClaimAnswer{State: stateRetryLater, Reason: err.Error()}
		}
		if a.State != stateMoved && a.State != stateRetryLater && a.State != StateRefused || ctx.Err() != nil || c.options.Clock.Now() >= deadline {
			break
		}
		if a.State == stateMoved || err != nil {
			c.refreshTable(ctx)
		}
	}
	return c.outcome(ctx, m, a)
}

func (c *Claimer) outcome(ctx context.Context, m ClaimMessage, a ClaimAnswer) Outcome {
	o := Outcome{State: a.State, Answer: a.Answer, Reason: a.Reason, Ran: RanUnknown}
	switch a.State {
	case StateGranted:
		o.Grant, o.Ran = Grant{key: m.Key, id: m.ID, Deadline: m.Deadline}, NotRun
	case StateAnswered:
		o.Ran = HasRun
	case StateRefused, StateKeyReused:
		o.Ran = NotRun
	case stateMoved, stateRetryLater:
		o.State = StateUnknown
		// This operation will not run, so the owner may grant the key to another one.
		_ = c.sendSettlement(ctx, SettleMessage{Key: m.Key, ID: m.ID, State: StateReleased}, 1)
	}
	return o
}

// callOwner sends a message to the owner of a key's range, or calls local if this
// instance is the owner.
func (c *Claimer) callOwner(ctx context.Context, method, key string, params any, local func() ClaimAnswer) (ClaimAnswer, error) {
	c.mu.Lock()
	if len(c.table.Ranges) == 0 {
		c.mu.Unlock()
		return ClaimAnswer{State: stateMoved, Reason: "range table not known"}, nil
	}
	owner := c.table.Ranges[rangeOf(key, len(c.table.Ranges))].Owner
	p, ok := c.peers[owner]
	c.mu.Unlock()
	if owner == c.options.Self.ID {
		return local(), nil
	}
	if !ok {
		return ClaimAnswer{State: stateMoved, Reason: "owner of the range not known"}, nil
	}
	var a ClaimAnswer
	err := c.call(ctx, p.Address, method, params, &a)
	return a, err
}

// refreshTable reads the table again after the presumed owner moved or did not answer.
func (c *Claimer) refreshTable(ctx context.Context) {
	c.mu.Lock()
	c.tableStale = true
	ticking := c.ticking
	c.wakeUp()
	c.mu.Unlock()
	if !ticking {
		c.Tick(ctx)
	}
}

// SettleAnswered stores the answer of a granted request.
func (c *Claimer) SettleAnswered(ctx context.Context, g Grant, answer []byte) error {
	m := SettleMessage{Key: g.key, ID: g.id, State: StateAnswered, Answer: answer}
	if len(answer) > MaxAnswerBytes {
		m.State, m.Answer = StateUnknown, nil
	}
	return c.sendSettlement(ctx, m, maxAttempts)
}

// SettleUnknown settles a request that may have run without an answer.
func (c *Claimer) SettleUnknown(ctx context.Context, g Grant) error {
	return c.sendSettlement(ctx, SettleMessage{Key: g.key, ID: g.id, State: StateUnknown}, maxAttempts)
}

// Release returns a grant under which certainly nothing was sent.
func (c *Claimer) Release(ctx context.Context, g Grant) error {
	return c.sendSettlement(ctx, SettleMessage{Key: g.key, ID: g.id, State: StateReleased}, maxAttempts)
}

// sendSettlement sends an outcome to the owner of the range, with retries.
func (c *Claimer) sendSettlement(ctx context.Context, m SettleMessage, attempts int) error {
	var a ClaimAnswer
	var err error
	for attempt := range attempts {
		if attempt > 0 {
			c.options.Sleep(ctx, initialBackoff<<(attempt-1))
		}
		a, err = c.callOwner(ctx, MethodSettle, m.Key, m, func() ClaimAnswer { return c.settle(ctx, m) })
		if err == nil && (a.State == stateSettled || a.State == StateUnknown) || ctx.Err() != nil {
			break
		}
		if attempts > 1 && (err != nil || a.State == stateMoved) {
			c.refreshTable(ctx)
		}
	}
	switch {
	case err != nil:
		return errors.Wrap(ErrNotSettled, err.Error())
	case a.State != stateSettled:
		return errors.Wrap(ErrNotSettled, a.State+" "+a.Reason)
	}
	return nil
}
