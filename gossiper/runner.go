package gossiper

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Method is the name of the gossip message between instances.
const Method = "gossip"

// callTimeout is shorter than the time to suspicion, so that a lost probe is repeated.
const callTimeout = timekeeper.Second

// pushTimeout is short because a push that is not answered goes another way, and
// urgent records must be everywhere within 2 s.
const pushTimeout = 300 * timekeeper.Millisecond

func (s Send) timeout() timekeeper.Millis {
	if s.push != nil {
		return pushTimeout
	}
	return callTimeout
}

// maxCalls bounds the exchanges that wait for answers.
const maxCalls = 128

// Caller sends a message to another instance; messenger.Messenger is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Handler returns the function that answers gossip messages.
func (g *Gossiper) Handler(c timekeeper.Clock) func(context.Context, json.RawMessage) (any, error) {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var m Message
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, errors.Wrap(ErrInvalidMessage, err.Error())
		}
		return g.Receive(c.Now(), m)
	}
}

// Run exchanges messages until the context ends and waits for those in flight.
func (g *Gossiper) Run(ctx context.Context, c timekeeper.Clock, caller Caller) {
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxCalls)
	ticker := time.NewTicker(TickInterval.Duration())
	defer ticker.Stop()
	for {
		for _, s := range g.Tick(c.Now()) {
			select {
			case slots <- struct{}{}:
			default:
				g.Failed(c.Now(), s)
				continue
			}
			group.Go(func() {
				defer func() { <-slots }()
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

// exchange sends a message and those that follow from its answer.
func (g *Gossiper) exchange(ctx context.Context, c timekeeper.Clock, caller Caller, s Send) {
	for queue := []Send{s}; len(queue) > 0 && ctx.Err() == nil; queue = queue[1:] {
		var answer Message
		timed, cancel := context.WithTimeout(ctx, queue[0].timeout().Duration())
		err := caller.Call(timed, queue[0].Address, Method, queue[0].Message, &answer)
		cancel()
		if err != nil {
			queue = append(queue, g.Failed(c.Now(), queue[0])...)
		} else {
			queue = append(queue, g.Answered(c.Now(), queue[0], answer)...)
		}
	}
}
