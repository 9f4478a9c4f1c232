package assembler

import (
	"context"

	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// admission bounds the requests that are in the instance.
type admission struct {
	slots chan struct{}
}

func newAdmission(i *Instance) *admission {
	return &admission{slots: make(chan struct{}, i.settings.QueueRequests)}
}

// enter admits a request; leave is called with its usage when it ended.
func (a *admission) enter(_ context.Context, _ request) (leave func(dispatcher.Usage), refusal *server.Refusal) {
	select {
	case a.slots <- struct{}{}:
		return func(dispatcher.Usage) { <-a.slots }, nil
	default:
		return nil, server.Refuse(server.CodeQueueFull, "the instance's queue is full").WithRetryAfter(timekeeper.Second)
	}
}
