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
	// No handler is ever unregistered: by default these signals end the process, and with it
	// the requests that a graceful shutdown still waits for.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	code := commander.Run(ctx, os.Args[1:], commander.Options{Out: os.Stdout, Diagnostics: os.Stderr, Hangups: hangups})
	os.Exit(code)
}
