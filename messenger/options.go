package messenger

import (
	"crypto/tls"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Options are the limits and the TLS settings of a messenger. The zero value of a limit
// means its default.
type Options struct {
	// PingAfter is the time without received bytes after which a connection is pinged.
	PingAfter timekeeper.Millis
	// CloseAfter is the time without received bytes after which a connection is closed.
	CloseAfter timekeeper.Millis
	// DialTimeout is the timeout of a dial, including the TLS handshake.
	DialTimeout timekeeper.Millis
	// MaxMessageBytes is the greatest length of a message.
	MaxMessageBytes int64
	// Security provides TLS that authenticates both ends; nil means plain TCP.
	Security Security
	// OnAcceptFailure is called for the first of consecutive failed accepts; nil means no
	// call.
	OnAcceptFailure func(error)
}

// Security provides the TLS configurations of both ends of a connection. Client is
// called for each connection and Server once for each Serve; both must lead to the
// use of renewed certificates in new connections.
type Security interface {
	Server() *tls.Config
	Client() (*tls.Config, error)
}

// Default limits.
const (
	DefaultPingAfter   = 2 * timekeeper.Second
	DefaultCloseAfter  = 4 * timekeeper.Second
	DefaultDialTimeout = 1 * timekeeper.Second

	DefaultMaxMessageBytes = 32 << 20
)

func (o Options) withDefaults() Options {
	if o.PingAfter == 0 {
		o.PingAfter = DefaultPingAfter
	}
	if o.CloseAfter == 0 {
		o.CloseAfter = DefaultCloseAfter
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.OnAcceptFailure == nil {
		o.OnAcceptFailure = func(error) {}
	}
	return o
}
