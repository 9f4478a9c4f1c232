package assembler

import (
	"context"
	"sync"

	"github.com/gypsumwharf/gypsumwharf/dispatcher"
	"github.com/gypsumwharf/gypsumwharf/storer"
)

// usage counts what was served at this instance.
type usage struct {
	mu    sync.Mutex
	lines map[usageID]storer.UsageLine
}

type usageID struct{ workspace, key, model, route string }

func newUsage(*Instance) *usage { return &usage{lines: map[usageID]storer.UsageLine{}} }

// count adds the result of an attempt that reached its target.
func (u *usage) count(r request, result dispatcher.Result) {
	if result.State < dispatcher.StateRan {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	id := usageID{r.workspace.Name, r.keyName, r.Route.Model, r.Route.Name}
	line := u.lines[id]
	line.Workspace, line.Key, line.Model, line.Route = id.workspace, id.key, id.model, id.route
	line.PromptTokens += result.Usage.PromptTokens
	line.CachedTokens += result.Usage.CachedTokens
	line.OutputTokens += result.Usage.OutputTokens
	line.Calls++
	u.lines[id] = line
}

func (u *usage) run(context.Context) {}
