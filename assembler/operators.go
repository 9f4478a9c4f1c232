package assembler

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/gypsumwharf/gypsumwharf/acceptor"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/server"
)

const (
	// operatorGrace bounds the wait for running operators' requests at shutdown.
	operatorGrace = time.Second
	// operatorDescriptors are for operators' connections; 85 in 100 of them are used.
	operatorDescriptors = 16
)

// Status is the state of an instance that operators see.
type Status struct {
	Instance          string `json:"instance"`
	DataCentre        string `json:"data-centre"`
	Region            string `json:"region"`
	Incarnation       int64  `json:"incarnation"`
	Generation        int64  `json:"generation"`
	Running           int64  `json:"running"`
	Members           int    `json:"members"`
	OwnedClaimRanges  int    `json:"claim-ranges-owned"`
	CopiedClaimRanges int    `json:"claim-ranges-copied"`
	CutOff            bool   `json:"cut-off"`
	Ready             bool   `json:"ready"`
	Reason            string `json:"reason,omitempty"`
	// UncopiedCalls and UncopiedTokens are the usage without a copy at a peer or in the
	// store: what would not be billed if the instance were killed now.
	UncopiedCalls  int64 `json:"uncopied-calls"`
	UncopiedTokens int64 `json:"uncopied-tokens"`
	// Duties are the epochs of the duties that the instance performs.
	Duties map[string]int64 `json:"duties,omitempty"`
	// Peers are the other instances that this one sees as live.
	Peers []string `json:"peers"`
}

// Status returns the instance's state.
func (i *Instance) Status() Status {
	s := Status{
		Instance: i.settings.Instance, DataCentre: i.settings.DataCentre, Region: i.settings.Region,
		Incarnation: i.incarnation, Generation: i.Catalogue().Generation(), Running: i.running.Load(), Ready: true, Peers: []string{},
		Duties: i.duties.heldEpochs(),
	}
	i.membership.addStatus(&s)
	uncopied := i.usage.counter.Uncopied()
	s.UncopiedCalls, s.UncopiedTokens = uncopied.Calls, uncopied.PromptTokens+uncopied.OutputTokens
	for _, other := range i.configuration.contacts.livePeers("") {
		s.Peers = append(s.Peers, other.Instance)
	}
	if err := i.Ready(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	return s
}

// Timeline returns the instance's events.
func (i *Instance) Timeline() recorder.Timeline { return i.recorder.Timeline() }

// Record records an event of the process that runs the instance.
func (i *Instance) Record(e recorder.Event) { i.recorder.Record(e) }

func (i *Instance) serveOperators(ctx context.Context) {
	e := echo.New()
	e.HideBanner = true
	e.Use(i.operatorsOnly)
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, i.Status()) })
	e.GET("/timeline", func(c echo.Context) error { return c.JSON(http.StatusOK, i.Timeline()) })
	e.POST("/keys/withdraw", i.postWithdrawal)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	descriptors := acceptor.NewDescriptors(i.clock, operatorDescriptors)
	listener := descriptors.Listen(acceptor.Listen(i.listeners.operators, i.recordAcceptFailure))
	if _, err := server.Listen(ctx, listener, e, server.Options{Descriptors: descriptors, ShutdownTimeout: operatorGrace, Abort: i.abort}); err != nil {
		i.recorder.Record(recorder.Event{Code: recorder.ShutdownForced, Cause: err.Error()})
	}
}

// operatorsOnly admits loopback callers, or holders of the operator token when one is set.
func (i *Instance) operatorsOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if i.settings.OperatorTokenHash != "" {
			token := c.Request().Header.Get("Authorization")
			const scheme = "Bearer "
			if len(token) > len(scheme) && HashKey(token[len(scheme):]) == i.settings.OperatorTokenHash {
				return next(c)
			}
			return echo.NewHTTPError(http.StatusUnauthorized, "an operator token is needed")
		}
		host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return echo.NewHTTPError(http.StatusForbidden, "operators connect from loopback unless operator-token-hash is set")
		}
		return next(c)
	}
}
