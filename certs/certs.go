// Package certs loads TLS certificates from PEM files, and reloads them when the
// files change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files. Authority is the certificate of the
// authority that signs the certificates of all hosts.
type Files struct {
	Certificate string `yaml:"Certificate"`
	Key         string `yaml:"Key"`
	Authority   string `yaml:"Authority"`
}

// Store holds the certificates last loaded from the files. Several goroutines may
// use it at once.
type Store struct {
	files Files

	mu    sync.Mutex
	pair  *tls.Certificate
	roots *x509.CertPool
	// modTime is the latest modification time of the files when they were loaded.
	modTime time.Time
}

// Load returns a Store of the certificates in the files, or an error if they
// can't be used.
func Load(f Files) (*Store, error) {
	s := &Store{files: f}
	if _, err := s.Refresh(); err != nil {
		return nil, err
	}
	return s, nil
}

// Refresh loads the files again if their latest modification time has changed,
// and reports whether it did. If a file can't be used, it returns an error and
// the previous certificates stay in use.
func (s *Store) Refresh() (bool, error) {
	at, err := s.latestModTime()
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Equal(s.modTime) {
		return false, nil
	}
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return false, fmt.Errorf("load certificate: %w", err)
	}
	b, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return false, fmt.Errorf("load authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(b) {
		return false, errors.New("load authority: no certificate in " + s.files.Authority)
	}
	s.pair, s.roots, s.modTime = &pair, roots, at
	return true, nil
}

// latestModTime returns the latest modification time of the files.
func (s *Store) latestModTime() (time.Time, error) {
	var at time.Time
	for _, f := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		i, err := os.Stat(f)
		if err != nil {
			return at, fmt.Errorf("stat certificate file: %w", err)
		}
		if i.ModTime().After(at) {
			at = i.ModTime()
		}
	}
	return at, nil
}

func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pair, s.roots
}

// ServerConfig returns the TLS configuration for serving callers, who need no
// certificate.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			p, _ := s.current()
			return p, nil
		},
	}
}

// PeerServerConfig returns the TLS configuration for serving other hosts, which
// need a certificate signed by the authority. VerifyConnection checks it against
// the authority last loaded.
func (s *Store) PeerServerConfig() *tls.Config {
	c := s.ServerConfig()
	c.ClientAuth = tls.RequireAnyClientCert
	c.VerifyConnection = func(x tls.ConnectionState) error { return s.verifyPeer(x, x509.ExtKeyUsageClientAuth) }
	return c
}

// PeerClientConfig returns the TLS configuration for dialling other hosts. A host
// is authenticated by the authority that signed its certificate and not by its
// address, since hosts may be replaced at any time. InsecureSkipVerify
// therefore turns off the default verification, which includes the address, and
// VerifyConnection checks the certificate instead.
func (s *Store) PeerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		VerifyConnection:   func(x tls.ConnectionState) error { return s.verifyPeer(x, x509.ExtKeyUsageServerAuth) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			p, _ := s.current()
			return p, nil
		},
	}
}

// verifyPeer checks that the certificate of a connection's peer is signed by the
// current authority and allows the usage.
func (s *Store) verifyPeer(x tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(x.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	_, roots := s.current()
	intermediates := x509.NewCertPool()
	for _, c := range x.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := x.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}})
	if err != nil {
		return fmt.Errorf("verify certificate of peer: %w", err)
	}
	return nil
}
