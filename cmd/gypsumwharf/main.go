// Command gypsumwharf runs and operates entry instances.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumwharf/gypsumwharf/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
