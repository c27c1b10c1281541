//go:build flood

package flood

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
	"testing"
	"time"

	"citronbridge/certs"
)

// newCertificates writes the certificate files of a host, and returns them with the TLS
// configurations of callers and of other hosts.
func newCertificates(t *testing.T) (files certs.Files, caller, peer *tls.Config) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(t, err)
	// The certificate is its own authority.
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	b, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	must(t, err)
	raw, err := x509.MarshalECPrivateKey(k)
	must(t, err)
	dir := t.TempDir()
	write := func(name, kind string, b []byte) string {
		f := filepath.Join(dir, name)
		must(t, os.WriteFile(f, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
		return f
	}
	files = certs.Files{Certificate: write("host.pem", "CERTIFICATE", b), Key: write("key.pem", "EC PRIVATE KEY", raw)}
	files.Authority = files.Certificate
	s, err := certs.Load(files)
	must(t, err)
	cert, err := x509.ParseCertificate(b)
	must(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	return files, &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: "127.0.0.1"}, s.PeerClientConfig()
}

// dialTLS returns a dialer that completes a TLS handshake.
func dialTLS(address string, config *tls.Config) dialer {
	plain := dialTCP(address)
	return func() (net.Conn, error) {
		c, err := plain()
		if err != nil {
			return nil, err
		}
		x := tls.Client(c, config)
		x.SetDeadline(time.Now().Add(sendTime))
		if err := x.Handshake(); err != nil {
			c.Close()
			return nil, err
		}
		x.SetDeadline(time.Time{})
		return x, nil
	}
}

// stalledHello is the beginning of a TLS record with a client's first handshake message.
var stalledHello = append([]byte{22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3}, make([]byte, 100)...)

// sendStalledHello begins a TLS handshake and stops.
func sendStalledHello(_ int, x net.Conn) { x.Write(stalledHello) }
