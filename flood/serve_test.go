//go:build flood

package flood

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/yaml.v3"

	"citronbridge/admin"
	"citronbridge/client"
	"citronbridge/config"
	"citronbridge/entry"
	"citronbridge/fakes"
	"citronbridge/fleet"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/units"
)

// Tokens of the operators and of the only account.
const (
	operatorToken = "operator-token"
	accountToken  = "account-token"
)

// Calls per second of the fake table service, more than a test makes.
const tableCalls = 2000

// serveProcess is a process of citronbridge serve on fake services.
type serveProcess struct {
	*process
	http, peer string
	// url is the base URL of the HTTP address.
	url    string
	client *http.Client
	// account and operator call the process with their tokens.
	account, operator *client.Client
	// callerTLS and peerTLS are nil if connections aren't encrypted.
	callerTLS, peerTLS *tls.Config
	nextID             atomic.Int64
}

// startServe starts a host, with TLS if encrypted is set, and waits until it accepts jobs.
func startServe(t *testing.T, encrypted bool) *serveProcess {
	p := &serveProcess{}
	s := config.Defaults()
	s.Host, s.DataCentre, s.HTTPAddress, s.PeerAddress = "h0", "dc", "127.0.0.1:0", "127.0.0.1:0"
	s.OperatorTokenHash = entry.HashToken(operatorToken)
	s.Limits = config.Limits{Memory: memoryMiB << 20, Descriptors: maxDescriptors}
	s.Platform = startServices(t)
	scheme := "http"
	if encrypted {
		scheme = "https"
		s.TLS, p.callerTLS, p.peerTLS = newCertificates(t)
	}
	b, err := yaml.Marshal(s)
	must(t, err)
	file := filepath.Join(t.TempDir(), "host.yaml")
	must(t, os.WriteFile(file, b, 0o600))
	p.process = startProcess(t, "serve", "--settings", file)
	p.await("host has started", p.readAddresses)
	p.url = scheme + "://" + p.http
	p.client = &http.Client{Transport: &http.Transport{TLSClientConfig: p.callerTLS}}
	p.account, err = client.New([]string{p.http}, accountToken, p.callerTLS)
	must(t, err)
	p.operator, err = client.New([]string{p.http}, operatorToken, p.callerTLS)
	must(t, err)
	m := rules.Manifest{
		Kinds: []rules.Kind{{Name: "routine", FloorPercent: 20}}, CastingVote: "account",
		Accounts: []rules.Account{{
			Name: "account", TokenHash: entry.HashToken(accountToken),
			Limits: rules.Limits{RequestsPerSecond: rules.MaxRate, Burst: rules.MaxRate, CallerRequestsPerSecond: rules.MaxRate, CallerBurst: rules.MaxRate},
		}},
	}
	p.await("manifest is accepted", func() bool {
		_, err := p.operator.Propose(context.Background(), &admin.Proposal{ID: "p0", Manifest: m})
		return err == nil
	})
	p.await("job is accepted", func() bool { status, _ := p.submit(); return status/100 == 2 })
	return p
}

// startServices starts the fake services, and a target that is in the host list.
func startServices(t *testing.T) config.Platform {
	listen := func(h http.Handler) *fakes.Server {
		s, err := fakes.Listen("127.0.0.1:0", h)
		must(t, err)
		t.Cleanup(func() { s.Close() })
		return s
	}
	hosts, objects := fakes.NewHosts(0), listen(fakes.NewObjects().Handler())
	room := jobs.Room{Accelerators: 8, Processors: 64, Memory: 256 << 30, Slots: 8}
	w := fakes.NewTarget("t0", room, objects.URL())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Expire(ctx)
	hosts.Set(fleet.Host{ID: "t0", Role: fleet.Target, DataCentre: "dc", Rack: "r0", Room: room, Address: listen(w.Handler()).Address})
	return config.Platform{Table: listen(fakes.NewTable(tableCalls, tableCalls).Handler()).URL(), Objects: objects.URL(), Hosts: listen(hosts.Handler()).URL()}
}

// readAddresses reads the addresses of the process from its log, and reports whether they are
// there.
func (p *serveProcess) readAddresses() bool {
	b, err := os.ReadFile(p.logFile)
	must(p.t, err)
	for l := range strings.Lines(string(b)) {
		var v struct{ Message, HTTP, Peer string }
		if json.Unmarshal([]byte(l), &v) == nil && v.Message == "host started" {
			p.http, p.peer = v.HTTP, v.Peer
			return true
		}
	}
	return false
}

// newSpec returns a job with members that each run for a moment.
func (p *serveProcess) newSpec(members int, arguments ...string) *jobs.Spec {
	return &jobs.Spec{
		ID: fmt.Sprintf("j%d", p.nextID.Add(1)), Caller: "c1", Kind: "routine", RunTime: units.Duration(20 * time.Millisecond),
		Shape:     jobs.Shape{Members: members, Each: jobs.Room{Accelerators: 1, Processors: 1, Memory: 1 << 30}, Adjacency: jobs.AdjacentHost},
		Arguments: append(arguments, "Run=10ms"),
	}
}

// submit submits a job of one member.
func (p *serveProcess) submit() (int, string) {
	b, err := json.Marshal(p.newSpec(1))
	must(p.t, err)
	return call(p.client, http.MethodPost, p.url+"/v1/jobs", "", http.Header{"Authorization": {"Bearer " + accountToken}}, string(b))
}

// dialHTTP and dialPeer dial the two addresses, over TLS if the process uses it.
func (p *serveProcess) dialHTTP() dialer { return dialMaybeTLS(p.http, p.callerTLS) }

func (p *serveProcess) dialPeer() dialer { return dialMaybeTLS(p.peer, p.peerTLS) }

func dialMaybeTLS(address string, c *tls.Config) dialer {
	if c == nil {
		return dialTCP(address)
	}
	return dialTLS(address, c)
}
