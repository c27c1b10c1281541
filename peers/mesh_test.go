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

	"citronbridge/certs"
	"citronbridge/wire"
)

// authority signs certificates for a test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

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

// issue writes a certificate for 127.0.0.1, its key and the authority to dir.
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

// newMesh returns a mesh whose connections are encrypted by s.
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
		Beat: func() *wire.Heartbeat { return &wire.Heartbeat{Host: host, DataCentre: "dc"} },
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

func load(t *testing.T, f certs.Files) *certs.Store {
	t.Helper()
	s, err := certs.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not come: " + what)
		}
	}
}

// TestCertificates lets hosts with certificates of one authority speak. A host
// of another authority and one without a certificate get nothing, until the
// files change.
func TestCertificates(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	var served atomic.Int64
	a := newMesh(t, "a", load(t, ours.issue(t, t.TempDir())), &served)
	b := newMesh(t, "b", load(t, ours.issue(t, t.TempDir())), &served)
	dir := t.TempDir()
	strange := load(t, theirs.issue(t, dir))
	c := newMesh(t, "c", strange, &served)
	address := func(m *Mesh) string { return m.c.Listener.Addr().String() }
	a.Update(map[string]string{"b": address(b), "c": address(c)}, time.Now())
	b.Update(map[string]string{"a": address(a)}, time.Now())
	c.Update(map[string]string{"a": address(a)}, time.Now())
	await(t, "a hears b", func() bool { return a.Peer("b") != nil })
	await(t, "a calls b", func() bool {
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
	if changed, err := strange.Refresh(); err != nil || !changed {
		t.Fatalf("files not read again: %v", err)
	}
	await(t, "a hears c", func() bool { return a.Peer("c") != nil })
}

// FuzzStream sends a host anything instead of a request and then asks it
// properly: a malformed message costs that message alone.
func FuzzStream(f *testing.F) {
	var good bytes.Buffer
	if _, err := protodelim.MarshalTo(&good, &wire.Request{Body: &wire.Request_Rules{Rules: &wire.RulesRequest{Revision: []byte("{}")}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1})
	f.Add([]byte{3, 0x0a, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var q wire.Request
		err := unmarshal(newReader(bytes.NewReader(b)), &q)
		var h wire.Heartbeat
		herr := unmarshal(newReader(bytes.NewReader(b)), &h)
		if len(b) == 0 && (err == nil || herr == nil) {
			t.Error("nothing was taken for a message")
		}
	})
}
