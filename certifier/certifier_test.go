package certifier

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/messenger"
)

// authority issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newAuthority(t *testing.T) authority {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate with a serial number to files in a directory.
func (a authority) issue(t *testing.T, dir string, serial int64, modified time.Time) Files {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{PeerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	f := Files{filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), filepath.Join(dir, "a.pem")}
	for name, data := range map[string][]byte{
		f.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		f.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}),
		f.Authority:   a.pem,
	} {
		assert.NilError(t, os.WriteFile(name, data, 0o600))
		assert.NilError(t, os.Chtimes(name, modified, modified))
	}
	return f
}

// handshake connects a client over loopback and returns the serial number of the
// server's certificate. In TLS 1.3 the client learns only from a read that it was refused.
func handshake(t *testing.T, server *Certifier, client *tls.Config) (int64, error) {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := server.Listen(plain)
	defer listener.Close()
	go func() {
		accepted, err := listener.Accept()
		if err == nil {
			_, _ = accepted.Write([]byte{1})
			accepted.Close()
		}
	}()
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: 5 * time.Second}, Config: client}
	c, err := dialer.DialContext(t.Context(), "tcp", plain.Addr().String())
	if err != nil {
		return 0, err
	}
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against peers that are not authenticated, and against a certificate renewal
// that needs a restart.
func TestPeersAreAuthenticatedAndCertificatesReload(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	past := time.Now().Add(-time.Minute).Truncate(time.Second)
	dir := t.TempDir()
	server, err := New(trusted.issue(t, dir, 10, past))
	assert.NilError(t, err)
	peer, err := New(trusted.issue(t, t.TempDir(), 20, past))
	assert.NilError(t, err)
	untrustedPeer, err := New(untrusted.issue(t, t.TempDir(), 30, past))
	assert.NilError(t, err)

	client, err := peer.Client()
	assert.NilError(t, err)
	serial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10))

	untrustedClient, err := untrustedPeer.Client()
	assert.NilError(t, err)
	untrustedClient.RootCAs = client.RootCAs
	_, err = handshake(t, server, untrustedClient)
	assert.Assert(t, err != nil, "a peer of another authority was accepted")
	_, err = handshake(t, untrustedPeer, client)
	assert.Assert(t, err != nil, "a server of another authority was accepted")

	trusted.issue(t, dir, 11, past.Add(time.Second))
	serial, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(11))
}

// Guards against messages from processes that are not instances of the deployment.
func TestMessagesNeedACertificate(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	load := func(a authority) *Certifier {
		c, err := New(a.issue(t, t.TempDir(), 1, time.Now()))
		assert.NilError(t, err)
		return c
	}
	handled := 0
	server := messenger.New(messenger.Options{Security: load(trusted)})
	server.Handle("claim", func(context.Context, json.RawMessage) (any, error) {
		handled++
		return "granted", nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	send := func(o messenger.Options) (answer string, err error) {
		limit, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		client := messenger.New(o)
		defer client.Close()
		return answer, client.Call(limit, listener.Addr().String(), "claim", struct{}{}, &answer)
	}
	_, err = send(messenger.Options{Security: load(trusted)})
	assert.NilError(t, err)
	_, err = send(messenger.Options{Security: load(untrusted)})
	assert.Assert(t, err != nil, "a message from an instance of another authority was accepted")
	_, err = send(messenger.Options{})
	assert.Assert(t, err != nil, "a message from a process without a certificate was accepted")
	cancel()
	assert.NilError(t, <-done)
	assert.Equal(t, handled, 1)
}

// Guards against invalid files that are noticed only at the first connection.
func TestFaultyFilesAreRefusedAtTheStart(t *testing.T) {
	issuer := newAuthority(t)
	for name, damage := range map[string]func(Files) error{
		"missing key":       func(f Files) error { return os.Remove(f.Key) },
		"empty certificate": func(f Files) error { return os.WriteFile(f.Certificate, nil, 0o600) },
		"empty authority":   func(f Files) error { return os.WriteFile(f.Authority, nil, 0o600) },
	} {
		t.Run(name, func(t *testing.T) {
			f := issuer.issue(t, t.TempDir(), 1, time.Now())
			assert.NilError(t, damage(f))
			_, err := New(f)
			assert.Assert(t, err != nil)
		})
	}
}
