// Package certifier loads certificates from files and loads them again when the
// files change, so that a renewal needs no restart.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// PeerName is the name that certificates of instances carry. Instances are
// replaced at any time, so their addresses are not in the certificates.
const PeerName = "gypsumwharf-instance"

// ErrNoAuthority means that the authority's file holds no certificate.
var ErrNoAuthority = errors.New("file holds no certificate")

// Files are PEM files. Authority is needed only where the other end is checked.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Certifier holds the certificates of its files. It is safe for concurrent use.
type Certifier struct {
	files Files

	mu          sync.Mutex
	changed     [3]time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New loads the files once, so that faulty ones are found at the start.
func New(f Files) (*Certifier, error) {
	c := &Certifier{files: f}
	if _, _, err := c.current(); err != nil {
		return nil, err
	}
	return c, nil
}

// current returns the certificates; it reads files that changed since the last call.
func (c *Certifier) current() (tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed, err := c.modified()
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	if changed == c.changed {
		return c.certificate, c.authority, nil
	}
	certificate, authority, err := c.load()
	if err != nil {
		// Files are replaced one after the other; the old pair serves until the new one fits.
		if c.authority != nil || c.certificate.Certificate != nil {
			return c.certificate, c.authority, nil
		}
		return tls.Certificate{}, nil, err
	}
	c.changed, c.certificate, c.authority = changed, certificate, authority
	return certificate, authority, nil
}

func (c *Certifier) modified() ([3]time.Time, error) {
	var times [3]time.Time
	for n, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			if c.certificate.Certificate != nil {
				return c.changed, nil
			}
			return times, errors.Wrap(err, "certificate file")
		}
		times[n] = info.ModTime()
	}
	return times, nil
}

func (c *Certifier) load() (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrapf(err, "load %s", c.files.Certificate)
	}
	if c.files.Authority == "" {
		return certificate, nil, nil
	}
	data, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return tls.Certificate{}, nil, errors.Wrap(ErrNoAuthority, c.files.Authority)
	}
	return certificate, pool, nil
}

// Server returns the configuration of the accepting end. With an authority the
// other end must present a certificate of it.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority, err := c.current()
			if err != nil {
				return nil, err
			}
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
			if authority != nil {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, authority
			}
			return config, nil
		},
	}
}

// Client returns the configuration of the dialling end towards another instance.
func (c *Certifier) Client() (*tls.Config, error) {
	certificate, authority, err := c.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		RootCAs: authority, ServerName: PeerName,
	}, nil
}

// Listen returns a listener whose connections are encrypted.
func (c *Certifier) Listen(l net.Listener) net.Listener { return tls.NewListener(l, c.Server()) }
