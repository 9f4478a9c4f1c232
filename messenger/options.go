package messenger

import (
	"crypto/tls"

	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Options set the bounds of a messenger. The zero value of a field means its default.
type Options struct {
	// PingAfter is the silence after which a connection is probed.
	PingAfter timekeeper.Millis
	// CloseAfter is the silence after which a connection counts as dead.
	CloseAfter timekeeper.Millis
	// DialTimeout bounds the set-up of a connection.
	DialTimeout timekeeper.Millis
	// Security authenticates both ends; nil means plain TCP.
	Security Security
}

// Security gives the configurations of both ends of a connection. They are asked
// for anew with each connection, so that renewed certificates are used.
type Security interface {
	Server() *tls.Config
	Client() (*tls.Config, error)
}

// Default bounds.
const (
	DefaultPingAfter   = 2 * timekeeper.Second
	DefaultCloseAfter  = 4 * timekeeper.Second
	DefaultDialTimeout = 1 * timekeeper.Second
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
	return o
}
