package commander

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gypsumwharf/gypsumwharf/faker"
	"github.com/gypsumwharf/gypsumwharf/orderer"
	"github.com/gypsumwharf/gypsumwharf/server"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// roleChangeDuration is the time that a stand-in engine is unavailable while it changes its role.
const roleChangeDuration = 3 * timekeeper.Second

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin platform|engine|booking",
		Short: "Run a stand-in for an outside system, for trials and tests",
		Args:  oneArgument("kind: platform, engine or booking"),
	}
	address := c.Flags().String("address", "127.0.0.1:21000", "IP address and port to listen on")
	name := c.Flags().String("name", "standin", "name of the target")
	delay := c.Flags().Duration("delay", 2*time.Millisecond, "time that a booking server takes for a call")
	c.RunE = func(c *cobra.Command, args []string) error {
		handler, err := standin(args[0], *name, *delay)
		if err != nil {
			return err
		}
		return serveHandler(c.Context(), *address, handler)
	}
	return c
}

func standin(kind, name string, delay time.Duration) (http.Handler, error) {
	clock := timekeeper.System()
	switch kind {
	case "platform":
		return faker.NewPlatform(clock).Handler(), nil
	case "engine":
		engine := faker.NewEngine(faker.EngineOptions{Name: name}, clock)
		return faker.NewEngineControl(clock, name, orderer.RoleMixed, true, roleChangeDuration).Handler(engine), nil
	case "booking":
		return faker.NewBooking(name, clock, delay).Handler(), nil
	default:
		return nil, errors.Wrapf(errUsage, "unknown kind %q: give platform, engine or booking", kind)
	}
}

func serveHandler(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	_, err = server.Listen(ctx, listener, handler, server.Options{ShutdownTimeout: time.Second})
	return err
}
