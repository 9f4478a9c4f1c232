package gossiper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Method is the RPC method of gossip messages between instances.
const Method = "gossip"

// callTimeout is shorter than DefaultSuspectAfter, so that a lost probe is retried.
const callTimeout = timekeeper.Second

// pushTimeout is short because an unanswered push is rerouted, and urgent records
// must reach every instance within 2 s.
const pushTimeout = 300 * timekeeper.Millisecond

func (s Send) timeout() timekeeper.Millis {
	if s.push != nil {
		return pushTimeout
	}
	return callTimeout
}

// maxInFlight bounds the concurrent exchanges.
const maxInFlight = 128

// Caller sends a message to another instance. messenger.Messenger implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Handler returns the RPC handler of gossip messages.
func (g *Gossiper) Handler(c timekeeper.Clock) func(context.Context, json.RawMessage) (any, error) {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var m Message
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, errors.Wrap(ErrInvalidMessage, err.Error())
		}
		return g.Receive(c.Now(), m)
	}
}

// Run exchanges messages until the context ends, then waits for the exchanges in
// flight.
func (g *Gossiper) Run(ctx context.Context, c timekeeper.Clock, caller Caller) {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	ticker := time.NewTicker(TickInterval.Duration())
	defer ticker.Stop()
	for {
		for _, s := range g.Tick(c.Now()) {
			select {
			case inFlight <- struct{}{}:
			default:
				g.HandleFailure(c.Now(), s)
				continue
			}
			exchanges.Go(func() {
				defer func() { <-inFlight }()
				g.exchange(ctx, c, caller, s)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.wake:
		}
	}
}

// exchange sends a message and its follow-up messages.
func (g *Gossiper) exchange(ctx context.Context, c timekeeper.Clock, caller Caller, s Send) {
	for queue := []Send{s}; len(queue) > 0 && ctx.Err() == nil; queue = queue[1:] {
		var answer Message
		callCtx, cancel := context.WithTimeout(ctx, queue[0].timeout().Duration())
		err := caller.Call(callCtx, queue[0].Address, Method, queue[0].Message, &answer)
		cancel()
		if err != nil {
			queue = append(queue, g.HandleFailure(c.Now(), queue[0])...)
		} else {
			queue = append(queue, g.HandleAnswer(c.Now(), queue[0], answer)...)
		}
	}
}
