// Command gypsumwharf-experiment runs load experiments on emulated engines. It is a
// separate program, so that entry instances do not link the plotting libraries.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/gypsumwharf/gypsumwharf/experimenter"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := experimenter.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
