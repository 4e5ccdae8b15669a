// Package conn implements the connections of a node: QUIC links to other nodes, and the
// connections, slots and queues for servers.
package conn

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/cert"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// certCheckInterval is how often the certificate files are checked for changes.
const certCheckInterval = 5 * time.Second

// Certs loads a certificate, its key and a CA from files, and reloads them when they change.
type Certs struct {
	// CA, Cert and Key are paths of PEM files. CA may be empty if no peer is verified, and Cert and
	// Key may be empty for a client without a certificate.
	CA, Cert, Key string
	// EphemeralName, if not empty, replaces the files: the node generates a certificate with this name
	// at startup, and peer certificates are not verified. It is meant for networks that only the nodes
	// can reach.
	EphemeralName tier.NodeID

	mu       sync.Mutex
	checked  time.Time
	modTimes [3]time.Time
	loaded   bool
	pair     *tls.Certificate
	pool     *x509.CertPool
}

// Load reads the files and reports the first error.
func (c *Certs) Load() error {
	_, _, err := c.current()
	return err
}

func (c *Certs) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded && time.Since(c.checked) < certCheckInterval {
		return c.pair, c.pool, nil
	}
	c.checked = time.Now()
	modTimes := c.statModTimes()
	if c.loaded && modTimes == c.modTimes {
		return c.pair, c.pool, nil
	}
	pair, pool, err := c.read()
	if err != nil && c.loaded {
		// Keep the loaded files: a half-written renewal must not stop a running node.
		return c.pair, c.pool, nil
	}
	if err != nil {
		return nil, nil, err
	}
	c.loaded, c.pair, c.pool, c.modTimes = true, pair, pool, modTimes
	return pair, pool, nil
}

func (c *Certs) statModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, path := range []string{c.CA, c.Cert, c.Key} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (c *Certs) read() (*tls.Certificate, *x509.CertPool, error) {
	if c.EphemeralName != "" {
		pair, err := cert.SelfSigned(string(c.EphemeralName))
		return pair, nil, err
	}
	pair, err := c.readPair()
	if err != nil || c.CA == "" {
		return pair, nil, err
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, nil, tier.At("load CA", c.CA, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, tier.At("load CA", c.CA, errors.New("file contains no PEM certificate"))
	}
	return pair, pool, nil
}

func (c *Certs) readPair() (*tls.Certificate, error) {
	if c.Cert == "" && c.Key == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	return &pair, tier.At("load certificate", c.Cert, err)
}

// ServerConfig returns a TLS configuration for listeners. If mutual is set, every peer must present
// a certificate signed by the CA. If EphemeralName is also set (self-signed mode), a certificate is
// still required, but its issuer is not verified.
func (c *Certs) ServerConfig(protocols []string, mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := c.current()
			if err != nil {
				return nil, err
			}
			conf := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{*pair}}
			switch {
			case mutual && c.EphemeralName != "":
				conf.ClientAuth = tls.RequireAnyClientCert
			case mutual:
				conf.ClientAuth, conf.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return conf, nil
		},
	}
}

// ClientConfig returns a TLS configuration for dialing the named peer.
func (c *Certs) ClientConfig(protocols []string, peer string) (*tls.Config, error) {
	pair, pool, err := c.current()
	if err != nil {
		return nil, err
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, ServerName: peer, RootCAs: pool, InsecureSkipVerify: c.EphemeralName != ""}
	if pair != nil {
		conf.Certificates = []tls.Certificate{*pair}
	}
	return conf, nil
}
