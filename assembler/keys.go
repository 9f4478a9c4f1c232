package assembler

import (
	"context"
	"net/http"
	"sort"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/authenticator"
	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/router"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// maxOrderBytes bounds the body of an operator's order.
const maxOrderBytes = 64 << 10

// WithdrawalOrder is an operator's request to withdraw a key.
type WithdrawalOrder struct {
	Hash     string `json:"hash"`
	Operator string `json:"operator"`
}

// WithdrawalResult lists the instances that received a withdrawal and those that did not.
type WithdrawalResult struct {
	Reached []string `json:"reached"`
	Missed  []string `json:"missed"`
}

// authenticate determines the workspace and the class of a request.
func (i *Instance) authenticate(call server.Call) (request, *server.Refusal) {
	r := request{Call: call, arrived: i.clock.Now()}
	r.AccessKeys = nil
	if !call.Route.Open && !i.configuration.withdrawalsLoaded.Load() {
		return r, server.Refuse(server.CodeNotReady, "withdrawn keys are not known yet").WithRetryAfter(timekeeper.Second)
	}
	caller, err := i.configuration.keys.Check(i.Catalogue(), call.Route, call.AccessKeys, i.configuration.contacts.standing())
	if err != nil {
		return r, refuseKey(err)
	}
	r.workspace, r.class, r.keyName = caller.Workspace, caller.Class, caller.Key
	if caller.Hash != (authenticator.Hash{}) {
		r.keyHash = caller.Hash.String()
	}
	r.deadline = r.arrived + timekeeper.Millis(caller.Class.DeadlineMilliseconds)
	return r, nil
}

// Granted implements server.Backend.
func (i *Instance) Granted(accessKeys []string) ([]string, *server.Refusal) {
	names := []string{}
	catalogue, standing := i.Catalogue(), i.configuration.contacts.standing()
	for _, route := range catalogue.Declaration().Routes {
		if route.Kind != declarer.RouteKindModel {
			continue
		}
		_, err := i.configuration.keys.Check(catalogue, route, accessKeys, standing)
		switch {
		case err == nil:
			names = append(names, route.Name)
		case !errors.Is(err, authenticator.ErrNotGranted):
			return nil, refuseKey(err)
		}
	}
	sort.Strings(names)
	return names, nil
}

// recheckKey refuses a request whose key was withdrawn while it waited.
func (i *Instance) recheckKey(r request) *server.Refusal {
	if err := i.configuration.recheckKey(r.keyHash); err != nil {
		return refuseKey(err)
	}
	return nil
}

// recheckKey returns an error if a key no longer works. Requests of open routes have no key.
func (c *configuration) recheckKey(hash string) error {
	if hash == "" {
		return nil
	}
	h, err := authenticator.ParseHash(hash)
	if err != nil {
		return err
	}
	return c.keys.Recheck(c.catalogue(), h)
}

// refuseKey converts an error of the key check into the caller's error.
func refuseKey(err error) *server.Refusal {
	switch {
	case errors.Is(err, authenticator.ErrNoKey):
		return server.Refuse(server.CodeKeyMissing, "the route needs a key")
	case errors.Is(err, authenticator.ErrNotGranted):
		return server.Refuse(server.CodeRouteNotGranted, "%v", err)
	case errors.Is(err, authenticator.ErrIsolated), errors.Is(err, authenticator.ErrCutOff):
		return server.Refuse(server.CodeIsolated, "%v", err).WithRetryAfter(timekeeper.Second)
	default:
		return server.Refuse(server.CodeKeyInvalid, "the key is not valid: %v", err)
	}
}

// onWithdraw merges withdrawals of another instance.
func (c *configuration) onWithdraw(_ context.Context, r authenticator.WithdrawRequest) (any, error) {
	answer, fresh, err := c.keys.Set().Receive(r, c.keyring(), c.instance.clock.Now())
	c.applyWithdrawals(fresh)
	return answer, err
}

func (c *configuration) applyWithdrawals(list []authenticator.Withdrawal) {
	for _, w := range list {
		c.instance.admission.withdrawKey(w.Hash.String())
		owner, _ := c.catalogue().KeyOwner(w.Hash.String())
		c.instance.recorder.Record(recorder.Event{
			Code: recorder.KeyWithdrawn, Workspace: owner.Workspace, Cause: "key " + owner.Key + " by " + w.Operator,
		})
	}
}

// withdraw applies a withdrawal at this instance and pushes it to all live instances.
func (c *configuration) withdraw(ctx context.Context, order WithdrawalOrder) (WithdrawalResult, error) {
	h, err := authenticator.ParseHash(order.Hash)
	if err != nil {
		return WithdrawalResult{}, err
	}
	w := authenticator.Withdrawal{Hash: h, Stamp: timekeeper.Stamp{Wall: c.instance.clock.Now()}, Operator: order.Operator}
	if c.keys.Set().Add(w) {
		c.applyWithdrawals([]authenticator.Withdrawal{w})
	}
	result := WithdrawalResult{Reached: []string{c.instance.settings.Instance}, Missed: []string{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, other := range c.contacts.livePeers("") {
		group.Go(func() {
			fresh, err := c.keys.Set().Push(ctx, remotePeer{c.instance, other.Address}, []authenticator.Withdrawal{w}, c.keyring(), c.instance.clock.Now())
			c.applyWithdrawals(fresh)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.Missed = append(result.Missed, other.Instance)
				return
			}
			result.Reached = append(result.Reached, other.Instance)
		})
	}
	group.Wait()
	sort.Strings(result.Reached)
	sort.Strings(result.Missed)
	return result, nil
}

// postWithdrawal handles an operator's withdrawal.
func (i *Instance) postWithdrawal(c echo.Context) error {
	var order WithdrawalOrder
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxOrderBytes)
	if err := c.Bind(&order); err != nil {
		return err
	}
	result, err := i.configuration.withdraw(c.Request().Context(), order)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, result)
}

// releaseUnused releases the target that was chosen for a request which does not run.
func (r *routing) releaseUnused(p placement) {
	if p.solo {
		r.quarantiner.Abandon(p.identity)
	}
	r.router.Finish(p.choice.ID, router.Outcome{Result: router.Cancelled}, r.instance.clock.Now())
}
