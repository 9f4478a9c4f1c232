// Command gypsumwharf-experiment plays loads on emulated engines. It is a program of
// its own, so that entry instances do not load what draws plots.
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
