// Package certifier loads certificates from files and reloads them when the files
// change, so that a renewal needs no restart.
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

// PeerName is the DNS name in the certificates of instances. Instances are replaced at
// any time, so certificates do not contain their addresses.
const PeerName = "gypsumwharf-instance"

// ErrNoAuthority means that the authority's file contains no certificate.
var ErrNoAuthority = errors.New("file contains no PEM certificate")

// Files are the paths of PEM files. Authority is needed only to verify the other end's certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Certifier caches the certificates of its files. It is safe for concurrent use.
type Certifier struct {
	files Files

	mu          sync.Mutex
	loadedTimes [3]time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New returns a Certifier for the files. It loads them once, so that invalid files are
// reported at startup.
func New(f Files) (*Certifier, error) {
	c := &Certifier{files: f}
	if _, _, err := c.current(); err != nil {
		return nil, err
	}
	return c, nil
}

// current returns the certificates. It reloads files that changed since the last call.
func (c *Certifier) current() (tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times, err := c.modificationTimes()
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	if times == c.loadedTimes {
		return c.certificate, c.authority, nil
	}
	certificate, authority, err := c.load()
	if err != nil {
		// Files are replaced one after the other. The old certificates stay in use until
		// the new files match.
		if c.authority != nil || c.certificate.Certificate != nil {
			return c.certificate, c.authority, nil
		}
		return tls.Certificate{}, nil, err
	}
	c.loadedTimes, c.certificate, c.authority = times, certificate, authority
	return certificate, authority, nil
}

func (c *Certifier) modificationTimes() ([3]time.Time, error) {
	var times [3]time.Time
	for n, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			if c.certificate.Certificate != nil {
				return c.loadedTimes, nil
			}
			return times, errors.Wrap(err, "stat certificate file")
		}
		times[n] = info.ModTime()
	}
	return times, nil
}

func (c *Certifier) load() (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrapf(err, "load certificate and key of %s", c.files.Certificate)
	}
	if c.files.Authority == "" {
		return certificate, nil, nil
	}
	data, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "read certificate authority file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return tls.Certificate{}, nil, errors.Wrap(ErrNoAuthority, c.files.Authority)
	}
	return certificate, pool, nil
}

// Server returns the TLS configuration for accepting connections. If there is an
// authority, clients must present a certificate that it issued.
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

// Client returns the TLS configuration for connecting to another instance.
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

// Listen returns a listener that accepts TLS connections.
func (c *Certifier) Listen(l net.Listener) net.Listener { return tls.NewListener(l, c.Server()) }
