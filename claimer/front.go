package claimer

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

const (
	maxTries   = 6
	retryAfter = 100 * timekeeper.Millisecond
)

// Ran tells whether the request of a refused claim has run.
type Ran string

// What is known about a request that was not granted.
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

// Grant allows one run of one request, to be started before its deadline.
type Grant struct {
	key      string
	id       string
	Deadline timekeeper.Millis
}

// Valid reports whether the request may still be started; it is checked at the
// last moment before sending.
func (g Grant) Valid(now timekeeper.Millis) bool { return now < g.Deadline }

// Claim asks for the one run of a key. The digest is that of the request body; a
// claim in progress past the deadline becomes unknown.
func (c *Claimer) Claim(ctx context.Context, workspace, key, digest string, deadline timekeeper.Millis) Outcome {
	c.mu.Lock()
	c.next++
	m := ClaimMessage{Key: KeyOf(workspace, key), ID: c.options.Self.ID + "/" + strconv.FormatInt(c.next, 36), Digest: digest, Deadline: deadline}
	c.mu.Unlock()
	var a ClaimAnswer
	for try := range maxTries {
		if try > 0 {
			c.options.Sleep(ctx, retryAfter<<(try-1))
		}
		var err error
		a, err = c.ask(ctx, MethodClaim, m.Key, m, func() ClaimAnswer { return c.grant(ctx, m) })
		if err != nil {
			a = ClaimAnswer{State: stateLater, Reason: err.Error()}
		}
		if a.State != stateMoved && a.State != stateLater && a.State != StateRefused || ctx.Err() != nil || c.options.Clock.Now() >= deadline {
			break
		}
		if a.State == stateMoved || err != nil {
			c.reread(ctx)
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
	case stateMoved, stateLater:
		o.State = StateUnknown
		// The operation will not run: the owner may grant the key to another one.
		_ = c.report(ctx, SettleMessage{Key: m.Key, ID: m.ID, State: StateReleased}, 1)
	}
	return o
}

// ask sends a message to the owner of a key's range, which may be this instance.
func (c *Claimer) ask(ctx context.Context, method, key string, params any, local func() ClaimAnswer) (ClaimAnswer, error) {
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

// reread reads the table for a caller whose owner did not answer.
func (c *Claimer) reread(ctx context.Context) {
	c.mu.Lock()
	c.dirty = true
	busy := c.busy
	c.nudge()
	c.mu.Unlock()
	if !busy {
		c.Tick(ctx)
	}
}

// Answered stores the answer of a granted request.
func (c *Claimer) Answered(ctx context.Context, g Grant, answer []byte) error {
	m := SettleMessage{Key: g.key, ID: g.id, State: StateAnswered, Answer: answer}
	if len(answer) > MaxAnswerBytes {
		m.State, m.Answer = StateUnknown, nil
	}
	return c.report(ctx, m, maxTries)
}

// Unknown settles a request that may have run without an answer.
func (c *Claimer) Unknown(ctx context.Context, g Grant) error {
	return c.report(ctx, SettleMessage{Key: g.key, ID: g.id, State: StateUnknown}, maxTries)
}

// Release gives up a grant under which certainly nothing was sent.
func (c *Claimer) Release(ctx context.Context, g Grant) error {
	return c.report(ctx, SettleMessage{Key: g.key, ID: g.id, State: StateReleased}, maxTries)
}

// report brings an outcome to the owner of the range.
func (c *Claimer) report(ctx context.Context, m SettleMessage, tries int) error {
	var a ClaimAnswer
	var err error
	for try := range tries {
		if try > 0 {
			c.options.Sleep(ctx, retryAfter<<(try-1))
		}
		a, err = c.ask(ctx, MethodSettle, m.Key, m, func() ClaimAnswer { return c.settle(ctx, m) })
		if err == nil && (a.State == stateSettled || a.State == StateUnknown) || ctx.Err() != nil {
			break
		}
		if tries > 1 && (err != nil || a.State == stateMoved) {
			c.reread(ctx)
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
