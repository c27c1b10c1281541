package itest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/yaml.v3"

	"citronbridge/admin"
	"citronbridge/binary"
	"citronbridge/client"
	"citronbridge/config"
	"citronbridge/entry"
	"citronbridge/fakes"
	"citronbridge/fleet"
	"citronbridge/httpc"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/target"
	"citronbridge/units"
)

const (
	operatorToken = "operator-token"
	// awaitTimeout is how long a test waits for a condition before it fails. It keeps
	// a test from hanging; it is no performance requirement.
	awaitTimeout = 40 * time.Second
)

// binaryDir holds the programs under test, which TestMain builds.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(binary.Run(m, &binaryDir, raceEnabled, "citronbridge", "citronbridge/fakesd"))
}

// process is a program under test that was started.
type process struct {
	cmd *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
	// logComplete is closed once everything that the program printed is in the file
	// at logPath.
	logComplete chan struct{}
	logPath     string
}

// startProcess starts a program that is killed when the test ends, if it still runs.
// Each line that it prints is written to its log file and passed to onLine.
func startProcess(t testing.TB, onLine func(string), name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaryDir, name), args...), exited: make(chan struct{}), logComplete: make(chan struct{})}
	r, w, err := os.Pipe()
	must(t, err)
	p.cmd.Stdout, p.cmd.Stderr = w, w
	f, err := os.CreateTemp(t.TempDir(), name)
	must(t, err)
	p.logPath = f.Name()
	must(t, p.cmd.Start())
	w.Close()
	go func() {
		defer close(p.logComplete)
		defer f.Close()
		s := bufio.NewScanner(r)
		for s.Scan() {
			fmt.Fprintln(f, s.Text())
			onLine(s.Text())
		}
	}()
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
	})
	return p
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// eventually polls f until it returns true and fails the test after awaitTimeout.
func eventually(t testing.TB, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", awaitTimeout, condition)
		}
	}
}

// layout describes the deployment that newCluster starts.
type layout struct {
	hosts          []string // data centre of each host
	targetCentres  []string
	racksPerCentre int
	targetsPerRack int
	settings       func(*config.Settings)
	hostListLag    time.Duration
	// delayLinks adds the latency between data centres, a round trip of 1 ms, to
	// every link.
	delayLinks bool
}

// cluster is a deployment of real processes. Each connection that a host opens to
// another process goes through a proxy.
type cluster struct {
	t              testing.TB
	layout         layout
	proxyServer    *toxiproxy.ApiServer
	tableAddress   string
	objectsAddress string
	hosts          []*hostProcess
	targets        []*targetProcess

	mu      sync.Mutex
	proxies map[link]*toxiproxy.Proxy
}

// link names the proxied connections from a host to one service, host or target.
type link struct{ from, to string }

// hostProcess is a host under test with its settings and its own host list.
type hostProcess struct {
	*process
	name, centre string
	// mu guards httpAddr and peerAddr, which change with each start.
	mu                 sync.Mutex
	httpAddr, peerAddr string
	hostList           *fakes.Hosts
	settings           config.Settings
	// logPaths are the log files of all processes that this host has run as, the
	// current one last.
	logPaths []string
}

// httpAddress returns the address at which the host currently serves callers.
func (h *hostProcess) httpAddress() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.httpAddr
}

// peerAddress returns the address at which the host currently serves other hosts, or
// "" if it has not started yet.
func (h *hostProcess) peerAddress() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peerAddr
}

// targetProcess is a fake target. Its event log outlives the process.
type targetProcess struct {
	*process
	// listEntry is the target's entry for the host lists, with its own address instead
	// of a proxy's.
	listEntry fleet.Host
	// control calls the target directly, not through a proxy, to inject faults and to
	// list its tasks.
	control      *httpc.Client
	eventLogPath string
}

// newCluster starts a deployment that has no manifest yet and waits until all of its
// hosts are ready.
func newCluster(t testing.TB, l layout) *cluster {
	c := &cluster{t: t, layout: l, proxies: map[link]*toxiproxy.Proxy{}}
	c.proxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	addresses := c.startFakes("platform")
	c.tableAddress, c.objectsAddress = addresses["Table"], addresses["Objects"]
	for _, dc := range l.targetCentres {
		for i := range l.racksPerCentre * l.targetsPerRack {
			c.addTarget(dc, fmt.Sprintf("%s-r%d", dc, i/l.targetsPerRack), fmt.Sprintf("%s-t%02d", dc, i))
		}
	}
	for i, dc := range l.hosts {
		c.hosts = append(c.hosts, &hostProcess{name: fmt.Sprintf("h%d", i), centre: dc})
	}
	for _, h := range c.hosts {
		c.startHost(h)
	}
	for _, h := range c.hosts {
		c.awaitReady(h)
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) close() {
	if c.t.Failed() {
		for _, h := range c.hosts {
			// SIGQUIT makes the host print its goroutines to the log.
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGQUIT)
			<-h.exited
			<-h.logComplete
			for _, l := range h.logPaths {
				b, _ := os.ReadFile(l)
				c.t.Logf("%s:\n%s", h.name, b)
			}
		}
	}
	for _, p := range c.proxies {
		p.Stop()
	}
}

// startFakes starts fake platform services and returns their addresses by name.
func (c *cluster) startFakes(args ...string) map[string]string {
	c.t.Helper()
	_, addresses := c.startFakesd(args...)
	return addresses
}

// startFakesd runs fakesd with args and waits until it has printed the address of each
// service: three for the platform, one for a target.
func (c *cluster) startFakesd(args ...string) (*process, map[string]string) {
	lines := make(chan string, 16)
	p := startProcess(c.t, func(s string) { lines <- s }, "fakesd", args...)
	n := 1
	if args[0] == "platform" {
		n = 3
	}
	addresses := map[string]string{}
	for range n {
		var v struct{ Name, Address string }
		must(c.t, json.Unmarshal([]byte(<-lines), &v))
		addresses[v.Name] = v.Address
	}
	return p, addresses
}

func (c *cluster) addTarget(dc, rack, id string) *targetProcess {
	w := &targetProcess{listEntry: fleet.Host{ID: id, Role: fleet.Target, DataCentre: dc, Rack: rack, Room: jobs.Room{Accelerators: 8, Processors: 64, Memory: 256 << 30, Slots: 8}}}
	w.eventLogPath = filepath.Join(c.t.TempDir(), "log")
	c.startTarget(w)
	c.targets = append(c.targets, w)
	return w
}

func (c *cluster) startTarget(w *targetProcess) {
	p, addresses := c.startFakesd("target", "--id", w.listEntry.ID, "--centre", w.listEntry.DataCentre, "--rack", w.listEntry.Rack, "--objects", "http://"+c.objectsAddress, "--log", w.eventLogPath)
	w.process, w.listEntry.Address = p, addresses["Target"]
	w.control = httpc.New("http://" + w.listEntry.Address)
}

// ensureProxy points the proxy of a link at upstream, creating it on the first call,
// and returns the address on which it listens. A proxy keeps its port.
func (c *cluster) ensureProxy(from, to, upstream string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := link{from, to}
	p := c.proxies[k]
	if p != nil {
		// A child process that is just being forked still holds a copy of the closed
		// listener for a moment.
		eventually(c.t, "the proxy listens on its port again", func() bool {
			return p.Update(&toxiproxy.Proxy{Listen: p.Listen, Upstream: upstream, Enabled: true}) == nil
		})
		return p.Listen
	}
	for p = nil; p == nil || p.Start() != nil; {
		p = toxiproxy.NewProxy(c.proxyServer, from+"-"+to, fmt.Sprintf("127.0.0.1:%d", nextProxyPort.Add(1)), upstream)
	}
	if c.layout.delayLinks {
		_, err := p.Toxics.AddToxicJson(strings.NewReader(`{"type":"latency","stream":"downstream","attributes":{"latency":1}}`))
		must(c.t, err)
	}
	c.proxies[k] = p
	return p.Listen
}

// nextProxyPort numbers the proxies' ports. They lie below the ephemeral port range, so
// that no connection takes the port of a proxy while its link is cut.
var nextProxyPort atomic.Int64

// Concurrent test processes use separate ranges of 500 ports, by their process IDs.
func init() { nextProxyPort.Store(10000 + int64(os.Getpid()%40)*500) }

// cutLink closes all connections of a link and refuses new ones.
func (c *cluster) cutLink(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.proxies[link{from, to}]; p != nil {
		p.Stop()
	}
}

// restoreLink makes a link that was cut accept connections again.
func (c *cluster) restoreLink(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.proxies[link{from, to}]; p != nil && !p.Enabled {
		eventually(c.t, "the proxy listens on its port again", func() bool { return p.Start() == nil })
	}
}

// addToxic drops (kind "timeout") or delays (kind "latency") the data of a link in the
// direction "upstream" or "downstream", until the returned function is called. attributes
// are those of the toxic, as JSON.
func (c *cluster) addToxic(k link, direction, kind, attributes string) (undo func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.proxies[k]
	x, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, direction, attributes)))
	must(c.t, err)
	return func() { p.Toxics.RemoveToxic(context.Background(), x.Name) }
}

// startHost starts the process of a host, which reaches the other hosts, targets and
// services through proxies, and updates every host list with its addresses.
func (c *cluster) startHost(h *hostProcess) {
	t := c.t
	if h.hostList == nil {
		h.hostList = fakes.NewHosts(c.layout.hostListLag)
		list, err := fakes.Listen("127.0.0.1:0", h.hostList.Handler())
		must(t, err)
		t.Cleanup(func() { list.Close() })
		h.settings = config.Defaults()
		s := &h.settings
		s.Host, s.DataCentre, s.HTTPAddress, s.PeerAddress = h.name, h.centre, "127.0.0.1:0", "127.0.0.1:0"
		s.OperatorTokenHash = entry.HashToken(operatorToken)
		s.Bounds.DrainGrace = units.Duration(200 * time.Millisecond)
		s.Platform = config.Platform{
			Table:   "http://" + c.ensureProxy(h.name, "table", c.tableAddress),
			Objects: "http://" + c.ensureProxy(h.name, "objects", c.objectsAddress),
			Hosts:   "http://" + c.ensureProxy(h.name, "list", list.Address),
		}
		if c.layout.settings != nil {
			c.layout.settings(s)
		}
	}
	b, err := yaml.Marshal(h.settings)
	must(t, err)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	must(t, os.WriteFile(file, b, 0o600))
	type startedLine struct{ Message, HTTP, Peer string }
	startedLines := make(chan startedLine, 1)
	h.process = startProcess(t, func(s string) {
		var v startedLine
		if json.Unmarshal([]byte(s), &v) == nil && v.Message == "host started" {
			startedLines <- v
		}
	}, "citronbridge", "serve", "--settings", file)
	h.logPaths = append(h.logPaths, h.logPath)
	select {
	case v := <-startedLines:
		h.mu.Lock()
		h.httpAddr, h.peerAddr = v.HTTP, v.Peer
		h.mu.Unlock()
	case <-h.exited:
		b, _ := os.ReadFile(h.logPath)
		t.Fatalf("host %s exited before it had started: %s", h.name, b)
	}
	c.updateHostLists()
}

// updateHostLists puts all hosts and targets into the host list of each host, with the
// addresses of that host's proxies.
func (c *cluster) updateHostLists() {
	for _, h := range c.hosts {
		if h.hostList == nil {
			continue
		}
		for _, o := range c.hosts {
			if o.peerAddress() == "" || o == h {
				continue
			}
			h.hostList.Set(fleet.Host{ID: o.name, Role: fleet.Entry, DataCentre: o.centre, Address: c.ensureProxy(h.name, o.name, o.peerAddress())})
		}
		for _, w := range c.targets {
			e := w.listEntry
			e.Address = c.ensureProxy(h.name, e.ID, e.Address)
			h.hostList.Set(e)
		}
	}
}

func (c *cluster) awaitReady(h *hostProcess) {
	k := c.client(operatorToken, h)
	eventually(c.t, h.name+" is ready", func() bool { return k.Ready(context.Background()) == nil })
}

// client returns a client that tries hosts in the given order. Without hosts it tries all
// hosts of the cluster.
func (c *cluster) client(token string, hosts ...*hostProcess) *client.Client {
	if len(hosts) == 0 {
		hosts = c.hosts
	}
	var l []string
	for _, h := range hosts {
		l = append(l, h.httpAddress())
	}
	k, err := client.New(l, token, nil)
	must(c.t, err)
	return k
}

// hostsExcept returns all hosts except h.
func (c *cluster) hostsExcept(h *hostProcess) []*hostProcess {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(o *hostProcess) bool { return o == h })
}

// propose proposes a manifest until it is accepted, waits until all hosts have it and
// returns its revision.
func (c *cluster) propose(m rules.Manifest) int64 {
	c.t.Helper()
	k := c.client(operatorToken)
	var n int64
	eventually(c.t, "the manifest is accepted", func() bool {
		cur, _ := k.Manifest(context.Background())
		v, err := k.Propose(context.Background(), &admin.Proposal{ID: fmt.Sprintf("p%d", cur.Number), Base: cur.Number, Manifest: m})
		n = v.Number
		return err == nil
	})
	c.awaitRevision(n)
	return n
}

// awaitRevision waits until every host has revision n of the manifest or a later one.
func (c *cluster) awaitRevision(n int64) {
	c.t.Helper()
	for _, h := range c.hosts {
		k := c.client(operatorToken, h)
		eventually(c.t, fmt.Sprintf("manifest revision %d is known to %s", n, h.name), func() bool {
			v, err := k.Manifest(context.Background())
			return err == nil && v.Number >= n
		})
	}
}

// awaitDeciders waits until every cell has a decider known to all hosts, so that each
// host reports every target as open.
func (c *cluster) awaitDeciders() {
	c.t.Helper()
	for _, h := range c.hosts {
		k := c.client(operatorToken, h)
		eventually(c.t, "every cell has a decider known to "+h.name, func() bool {
			l, err := k.Targets(context.Background())
			if err != nil {
				return false
			}
			openTargets := 0
			for _, x := range l {
				if x.State == "Open" {
					openTargets++
				}
			}
			return openTargets == len(c.targets)
		})
	}
}

// decider waits until a cell has a decider and returns its host.
func (c *cluster) decider(cell string) *hostProcess {
	var found *hostProcess
	eventually(c.t, "a host is the decider of "+cell, func() bool {
		for _, h := range c.hosts {
			l, err := c.client(operatorToken, h).Hosts(context.Background())
			if err != nil || len(l) == 0 {
				continue
			}
			for _, x := range l[0].Cells {
				if x.Cell == cell {
					found = h
					return true
				}
			}
		}
		return false
	})
	return found
}

// setTableFaults replaces the injected faults of the table service.
func (c *cluster) setTableFaults(f fakes.TableFaults) {
	c.t.Helper()
	must(c.t, httpc.New("http://"+c.tableAddress).Do(context.Background(), http.MethodPut, "/faults", f, nil))
}

// setFaults replaces the injected faults of a target.
func (w *targetProcess) setFaults(t testing.TB, f fakes.TargetFaults) {
	t.Helper()
	must(t, w.control.Do(context.Background(), http.MethodPut, "/faults", f, nil))
}

// events returns the events that the targets have logged, by job. Those of a job are in
// order per target.
func (c *cluster) events() map[jobs.Key][]targetEvent {
	m := map[jobs.Key][]targetEvent{}
	for _, w := range c.targets {
		f, err := os.Open(w.eventLogPath)
		if err != nil {
			continue
		}
		for d := json.NewDecoder(f); ; {
			var e fakes.LogEntry
			if d.Decode(&e) != nil {
				break
			}
			m[e.Task.Job] = append(m[e.Task.Job], targetEvent{w.listEntry.ID, e})
		}
		f.Close()
	}
	return m
}

// killTarget kills a target and appends an End event to its log for each task that was
// running, as the target can no longer log it.
func (c *cluster) killTarget(w *targetProcess) {
	w.kill()
	running := map[target.TaskID]bool{}
	for _, l := range c.events() {
		for _, e := range l {
			if e.target == w.listEntry.ID && (e.Event == "Start" || e.Event == "End") {
				running[e.Task] = e.Event == "Start"
			}
		}
	}
	f, err := os.OpenFile(w.eventLogPath, os.O_APPEND|os.O_WRONLY, 0)
	must(c.t, err)
	defer f.Close()
	for id, isRunning := range running {
		if isRunning {
			must(c.t, json.NewEncoder(f).Encode(fakes.LogEntry{Time: time.Now(), Event: "End", Task: id}))
		}
	}
}

// targetEvent is an event with the ID of the target that logged it.
type targetEvent struct {
	target string
	fakes.LogEntry
}

// Accounts of the tests. The token of each is its name followed by "-token".
const (
	kelani = "kelani"
	agency = "agency"
)

// shape returns a gang of n members with a accelerators each.
func shape(n, a int, j jobs.Adjacency) jobs.Shape {
	return jobs.Shape{Members: n, Each: jobs.Room{Accelerators: a, Processors: a, Memory: 1 << 30}, Adjacency: j}
}

// ampleLimits are high enough that no request of a test is rejected for its rate.
var ampleLimits = rules.Limits{RequestsPerSecond: rules.MaxRate, Burst: rules.MaxRate, CallerRequestsPerSecond: rules.MaxRate, CallerBurst: rules.MaxRate}

// manifest returns a manifest with the guarantees k of kelani and a of agency.
func manifest(k, a []rules.Guarantee) rules.Manifest {
	return rules.Manifest{
		Kinds:       []rules.Kind{{Name: "urgent", FloorPercent: 20}, {Name: "routine", FloorPercent: 20}},
		CastingVote: kelani,
		Accounts: []rules.Account{
			{Name: kelani, TokenHash: entry.HashToken(kelani + "-token"), Guarantees: k, Limits: ampleLimits},
			{Name: agency, TokenHash: entry.HashToken(agency + "-token"), Guarantees: a, Limits: ampleLimits},
		},
	}
}

// newSpec returns a job of two members in one rack that runs for run and outputs its ID.
// change adjusts it.
func newSpec(id string, run time.Duration, change ...func(*jobs.Spec)) *jobs.Spec {
	s := &jobs.Spec{
		ID: id, Caller: "c1", Kind: "routine", RunTime: units.Duration(run + time.Millisecond),
		Shape: shape(2, 4, jobs.AdjacentRack), Arguments: []string{"Run=" + run.String(), "Output=" + id},
	}
	for _, f := range change {
		f(s)
	}
	return s
}

func nonIdempotent(s *jobs.Spec) { s.NonIdempotent = true }

// submit retries a request until it is accepted. A rejection with a 4xx status other
// than 429 fails the test.
func (c *cluster) submit(k *client.Client, s *jobs.Spec) {
	c.t.Helper()
	var err error
	eventually(c.t, "acceptance of job "+s.ID, func() bool {
		_, err = k.Submit(context.Background(), s)
		if p := client.ProblemOf(err); p != nil && p.Status/100 == 4 && p.Status != http.StatusTooManyRequests {
			c.t.Fatalf("submit %s: %v", s.ID, err)
		}
		return err == nil
	})
}

// awaitDone waits for the outcome of a job, which must be Done with a complete answer.
func (c *cluster) awaitDone(k *client.Client, s *jobs.Spec) {
	c.t.Helper()
	v, err := k.Answer(context.Background(), s.ID, awaitTimeout)
	must(c.t, err)
	if v.Outcome != jobs.Done {
		x, _ := k.Explain(context.Background(), s.ID)
		c.t.Fatalf("job %s is not done: %s %s %s; %+v", s.ID, v.State, v.Outcome, v.Detail, x)
	}
	checkCompleteAnswer(c.t, s, &v)
}

// checkCompleteAnswer checks that an answer has the output of every member, and of this
// job only.
func checkCompleteAnswer(t testing.TB, s *jobs.Spec, v *entry.Answer) {
	t.Helper()
	if len(v.Parts) != s.Shape.Members {
		t.Fatalf("job %s: answer has %d of %d parts", s.ID, len(v.Parts), s.Shape.Members)
	}
	for i, p := range v.Parts {
		if want := fmt.Sprintf("%s#%d\n", s.ID, i); string(p.Data) != want {
			t.Fatalf("job %s: output of member %d is %q, want %q", s.ID, i, p.Data, want)
		}
	}
}
