// Package conn holds what lives for a connection: links between nodes over
// QUIC, and the connections, slots and queues towards servers.
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

// recheckCerts is how often the certificate files are looked at again.
const recheckCerts = 5 * time.Second

// Certs reads a certificate, its key and a CA from files, and again when they change.
type Certs struct {
	// CA, Cert and Key are paths of PEM files. CA may be empty where no peer is
	// verified; Cert and Key where a client shows no certificate.
	CA, Cert, Key string
	// Self, if not empty, replaces the files: the node makes itself a
	// certificate with this name at its start, and peers are not verified. It is
	// for networks that only the nodes can reach.
	Self tier.NodeID

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	loaded  bool
	pair    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files and reports the first error.
func (c *Certs) Load() error {
	_, _, err := c.current()
	return err
}

func (c *Certs) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded && time.Since(c.checked) < recheckCerts {
		return c.pair, c.pool, nil
	}
	c.checked = time.Now()
	stamp := c.stamps()
	if c.loaded && stamp == c.stamp {
		return c.pair, c.pool, nil
	}
	pair, pool, err := c.read()
	if err != nil && c.loaded {
		// A half-written renewal must not take a running node down.
		return c.pair, c.pool, nil
	}
	if err != nil {
		return nil, nil, err
	}
	c.loaded, c.pair, c.pool, c.stamp = true, pair, pool, stamp
	return pair, pool, nil
}

func (c *Certs) stamps() [3]time.Time {
	var s [3]time.Time
	for i, path := range []string{c.CA, c.Cert, c.Key} {
		if info, err := os.Stat(path); err == nil {
			s[i] = info.ModTime()
		}
	}
	return s
}

func (c *Certs) read() (*tls.Certificate, *x509.CertPool, error) {
	if c.Self != "" {
		pair, err := cert.Ephemeral(string(c.Self))
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
		return nil, nil, tier.At("load CA", c.CA, errors.New("no certificate in file"))
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

// ServerConfig returns a configuration for listeners. With mutual it demands
// a certificate of the CA from every peer.
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
			case mutual && c.Self != "":
				conf.ClientAuth = tls.RequireAnyClientCert
			case mutual:
				conf.ClientAuth, conf.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return conf, nil
		},
	}
}

// ClientConfig returns a configuration for dialling the peer with that name.
func (c *Certs) ClientConfig(protocols []string, peer string) (*tls.Config, error) {
	pair, pool, err := c.current()
	if err != nil {
		return nil, err
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, ServerName: peer, RootCAs: pool, InsecureSkipVerify: c.Self != ""}
	if pair != nil {
		conf.Certificates = []tls.Certificate{*pair}
	}
	return conf, nil
}
