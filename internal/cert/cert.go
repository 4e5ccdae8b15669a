// Package cert creates a certificate authority (CA) and issues the certificates of nodes.
package cert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	certValidity = 5 * 365 * 24 * time.Hour
	serialBits   = 120
	keyMode      = 0o600
	certMode     = 0o644
)

// Issuer issues certificates and stores them in a folder as ca.pem, ca.key, NODE.pem and
// NODE.key.
type Issuer struct {
	// Folder is the path of the folder with the files.
	Folder string

	ca  *x509.Certificate
	key *ecdsa.PrivateKey
}

func (m *Issuer) path(name string) string { return filepath.Join(m.Folder, name) }

// Open reads the CA from the folder, or creates one if there is none.
func (m *Issuer) Open() error {
	cert, err := os.ReadFile(m.path("ca.pem"))
	if os.IsNotExist(err) {
		return m.createCA()
	}
	if err != nil {
		return tier.At("read CA", m.Folder, err)
	}
	key, err := os.ReadFile(m.path("ca.key"))
	if err != nil {
		return tier.At("read CA", m.Folder, err)
	}
	c, k := firstBlock(cert), firstBlock(key)
	if m.ca, err = x509.ParseCertificate(c); err != nil {
		return tier.At("parse CA", m.Folder, err)
	}
	m.key, err = x509.ParseECPrivateKey(k)
	return tier.At("parse CA", m.Folder, err)
}

func firstBlock(b []byte) []byte {
	if p, _ := pem.Decode(b); p != nil {
		return p.Bytes
	}
	return nil
}

func (m *Issuer) createCA() error {
	if err := os.MkdirAll(m.Folder, 0o755); err != nil {
		return tier.At("create folder", m.Folder, err)
	}
	t, err := template("sassafrasring CA")
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	m.ca, m.key = t, key
	return m.issue("ca", t, key)
}

// IssueNode issues and stores the certificate and key of a node, valid for its name and IP
// addresses.
func (m *Issuer) IssueNode(name string, ips []string) error {
	t, err := template(name)
	if err != nil {
		return err
	}
	t.DNSNames = []string{name}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, s := range ips {
		ip := net.ParseIP(s)
		if ip == nil {
			return errors.Errorf("--ip %q is not an IP address", s)
		}
		t.IPAddresses = append(t.IPAddresses, ip)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	return m.issue(name, t, key)
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certValidity),
	}, nil
}

func (m *Issuer) issue(name string, t *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, t, m.ca, &key.PublicKey, m.key)
	if err != nil {
		return errors.Wrap(err, "sign certificate of "+name)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := m.writePEM(name+".key", "EC PRIVATE KEY", keyDER, keyMode); err != nil {
		return err
	}
	return m.writePEM(name+".pem", "CERTIFICATE", der, certMode)
}

func (m *Issuer) writePEM(name, kind string, b []byte, mode os.FileMode) error {
	return tier.At("write", m.path(name), os.WriteFile(m.path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), mode))
}

// SelfSigned returns a self-signed certificate whose key is kept only in memory.
func SelfSigned(name string) (*tls.Certificate, error) {
	t, err := template(name)
	if err != nil {
		return nil, err
	}
	t.DNSNames = []string{name}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate of "+name)
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
