package peers

import (
	"bytes"
	"context"
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
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"citronbridge/budget"
	"citronbridge/certs"
	"citronbridge/wire"
)

// authority is a certificate authority for a test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

// newAuthority returns an authority with a new key and a self-signed certificate.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	b, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{k, c, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: b})}
}

// issue writes a certificate for 127.0.0.1, its key and the authority's certificate to dir.
func (a *authority) issue(t *testing.T, dir string) certs.Files {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	b, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	f := certs.Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem")}
	for name, data := range map[string][]byte{
		f.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: b}),
		f.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}),
		f.Authority:   a.pem,
	} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// newMesh returns a Mesh whose connections use the certificates of s. It counts the requests that
// it serves in served.
func newMesh(t *testing.T, host string, s *certs.Store, served *atomic.Int64) *Mesh {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Config{
		Host: host, Listener: tls.NewListener(l, s.PeerServerConfig()), Period: 20 * time.Millisecond, Timeout: 2 * time.Second,
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			return (&tls.Dialer{Config: s.PeerClientConfig()}).DialContext(ctx, "tcp", a)
		},
		Heartbeat: func() *wire.Heartbeat { return &wire.Heartbeat{Host: host, DataCentre: "dc"} },
		Handler: func(context.Context, *wire.Request) *wire.Response {
			served.Add(1)
			return &wire.Response{Body: []byte(host)}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// loadCerts reads the certificate files f.
func loadCerts(t *testing.T, f certs.Files) *certs.Store {
	t.Helper()
	s, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// waitFor polls f until it returns true, and fails the test if it doesn't within 30 s.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not seen within 30 s: " + what)
		}
	}
}

// TestCertificates connects hosts with certificates of the same authority. A host with a
// certificate of another authority and one without a certificate are refused. The former is
// accepted once its certificate files are replaced and read again.
func TestCertificates(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	var served atomic.Int64
	a := newMesh(t, "a", loadCerts(t, ours.issue(t, t.TempDir())), &served)
	b := newMesh(t, "b", loadCerts(t, ours.issue(t, t.TempDir())), &served)
	dir := t.TempDir()
	foreign := loadCerts(t, theirs.issue(t, dir))
	c := newMesh(t, "c", foreign, &served)
	address := func(m *Mesh) string { return m.config.Listener.Addr().String() }
	a.UpdateHosts(map[string]string{"b": address(b), "c": address(c)}, time.Now())
	b.UpdateHosts(map[string]string{"a": address(a)}, time.Now())
	c.UpdateHosts(map[string]string{"a": address(a)}, time.Now())
	waitFor(t, "a receives a heartbeat of b", func() bool { return a.Peer("b") != nil })
	waitFor(t, "a's call of b is served", func() bool {
		r, err := a.Call(t.Context(), "b", &wire.Request{})
		return err == nil && string(r.Body) == "b"
	})
	plain, err := tls.Dial("tcp", address(a), &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		plain.Write([]byte{callStream})
		if n, err := plain.Read(make([]byte, 1)); err == nil {
			t.Errorf("a host without a certificate got %d bytes", n)
		}
		plain.Close()
	}
	before := served.Load()
	if _, err := c.Call(t.Context(), "a", &wire.Request{}); err == nil || a.Peer("c") != nil || served.Load() != before {
		t.Errorf("a host of another authority was served")
	}
	f := ours.issue(t, dir)
	if err := os.Chtimes(f.Key, time.Now(), time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if changed, err := foreign.Refresh(); err != nil || !changed {
		t.Fatalf("changed certificate files not read again: %v", err)
	}
	waitFor(t, "a receives a heartbeat of c", func() bool { return a.Peer("c") != nil })
}

// FuzzStream decodes arbitrary bytes as a request and as a heartbeat, as a host does with the
// streams of its peers. Malformed messages must not panic, and empty input is an error.
func FuzzStream(f *testing.F) {
	var good bytes.Buffer
	if _, err := protodelim.MarshalTo(&good, &wire.Request{Body: &wire.Request_Rules{Rules: &wire.RulesRequest{Revision: []byte("{}")}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1})
	f.Add([]byte{3, 0x0a, 1})
	p := budget.New(budget.Config{Limit: DefaultBudget})
	f.Fuzz(func(t *testing.T, b []byte) {
		l := p.Open(budget.Holder{})
		defer l.Close()
		var q wire.Request
		err := readMessage(newReader(bytes.NewReader(b)), l, maxMessage, &q)
		var h wire.Heartbeat
		herr := readMessage(newReader(bytes.NewReader(b)), l, maxHeartbeat, &h)
		if len(b) == 0 && (err == nil || herr == nil) {
			t.Error("empty input was decoded as a message")
		}
	})
}
