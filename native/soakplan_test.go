package native

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"citronbridge/fakes/plat"
)

// Kinds of faults in a soak, and their number, window and lengths.
const (
	faultKill                = "host is killed and restarted"
	faultPlannedStop         = "host is stopped as planned and restarted"
	faultPause               = "host process is paused"
	faultChangeSettings      = "settings of host change"
	faultRejectHost          = "store rejects calls of host"
	faultUnresponsiveStore   = "store doesn't answer calls of host"
	faultSlowStore           = "store is slow for host"
	faultLoseAnswers         = "store loses answers to writes of host and applies some late"
	faultSlowLink            = "link is slow"
	faultCutLink             = "link is cut and its connections are closed"
	faultDropRequests        = "link drops requests"
	faultDropResponses       = "link drops responses"
	faultChangeConfiguration = "configuration changes"
	faultEvacuation          = "operator evacuates a data centre"
	soakFaultCount           = 14
	soakFaultWindow          = 18 * time.Second
	longestSoakFault         = 3500 * time.Millisecond
	shortestSoakFault        = 100 * time.Millisecond
	// longLinkFactor multiplies the duration of one link fault in three that drops data
	// or cuts the link. The longest such faults exceed a lease.
	longLinkFactor = 4
	// Evacuations come beside the other faults. The longest go on for longer than evacuateTime,
	// after which no task may start there.
	soakEvacuationCount = 2
	longestEvacuation   = 9 * time.Second
	// soakEvacuated is the data centre that is evacuated, that of every other worker.
	soakEvacuated = "a"
	// deciderHost stands for the decider at the time when the fault is injected.
	deciderHost = -1
)

var faultKinds = []string{
	faultKill, faultPlannedStop, faultPause, faultChangeSettings, faultRejectHost, faultUnresponsiveStore, faultSlowStore, faultLoseAnswers, faultSlowLink, faultCutLink, faultDropRequests, faultDropResponses, faultChangeConfiguration,
}

// fault is one fault of a plan. By its kind, it affects a host or the decider, the link
// between a host and the store, the link between all hosts and a worker, or the
// configuration.
type fault struct {
	start, duration time.Duration
	kind            string
	host, link      int
	// share, if positive, is the share of the processor with which a host restarts.
	share float64
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s, for %4.2f s: %s (host %d, link %d, share %g)", f.start.Seconds(), f.duration.Seconds(), f.kind, f.host, f.link, f.share)
}

// planFaults returns the faults of a seed in the order of their starts. They may overlap,
// and one in four is repeated 50 ms after its end. Evacuations are among them.
func planFaults(seed uint64, hosts, links int) []fault {
	r := rand.New(rand.NewPCG(seed, 11))
	var l []fault
	for len(l) < soakFaultCount {
		f := fault{
			start: time.Duration(r.Int64N(int64(soakFaultWindow))), duration: shortestSoakFault + time.Duration(r.Int64N(int64(longestSoakFault-shortestSoakFault))),
			kind: faultKinds[r.IntN(len(faultKinds))], host: max(r.IntN(2*hosts)-hosts, deciderHost), link: r.IntN(links),
		}
		if r.IntN(3) == 0 && (f.kind == faultDropRequests || f.kind == faultDropResponses || f.kind == faultCutLink) {
			f.duration *= longLinkFactor
		}
		l = append(l, f)
		if r.IntN(4) == 0 {
			f.start += f.duration + 50*time.Millisecond
			l = append(l, f)
		}
	}
	// They have a source of their own, so that the other faults of a seed stay the same.
	r = rand.New(rand.NewPCG(seed, 13))
	for range soakEvacuationCount {
		l = append(l, fault{start: time.Duration(r.Int64N(int64(soakFaultWindow))), duration: shortestSoakFault + time.Duration(r.Int64N(int64(longestEvacuation))), kind: faultEvacuation})
	}
	slices.SortFunc(l, func(a, b fault) int { return int(min(max(a.start-b.start, -1), 1)) })
	return l
}

// TestSoakPlanRepeats checks that the same seed gives the same plan and another seed
// gives another one, so that a failure can be reproduced from its seed.
func TestSoakPlanRepeats(t *testing.T) {
	a, b := planFaults(7, 4, 16), planFaults(7, 4, 16)
	if !slices.Equal(a, b) || slices.Equal(a, planFaults(8, 4, 16)) {
		t.Errorf("%v\n%v", a, b)
	}
}

// links holds the proxies through which hosts reach the store and the workers.
type links struct {
	t       testing.TB
	server  *toxiproxy.ApiServer
	proxies []*toxiproxy.Proxy
}

func newLinks(t testing.TB) *links {
	l := &links{t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())}
	t.Cleanup(func() {
		for _, p := range l.proxies {
			p.Stop()
		}
	})
	return l
}

// addProxy starts a proxy of an upstream address and returns the proxy's address. It
// listens on an IP of its own, so that no one else takes its port while the link is cut.
func (l *links) addProxy(upstream string) string {
	p := toxiproxy.NewProxy(l.server, fmt.Sprint("link-", len(l.proxies)), freeAddresses(loopbackIPsUsed.Add(1))[0], upstream)
	l.startProxy(p)
	l.proxies = append(l.proxies, p)
	return p.Listen
}

// startProxy starts a proxy, retrying up to eventTimeout. A child process that is being
// started at the same time may hold the port for a moment, as it inherits the listener
// that the proxy had before.
func (l *links) startProxy(p *toxiproxy.Proxy) {
	var err error
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err = p.Start(); err == nil {
			return
		}
	}
	l.t.Errorf("start proxy of %s: %v", p.Upstream, err)
}

// addToxic adds a toxic, a fault of toxiproxy, to a link and returns a function that
// removes it.
func (l *links) addToxic(link int, stream, kind, attributes string) func() {
	p := l.proxies[link]
	x, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":"t%d","type":%q,"stream":%q,"attributes":%s}`, toxicCount.Add(1), kind, stream, attributes)))
	if err != nil {
		l.t.Errorf("add toxic: %v", err)
		return func() {}
	}
	return func() {
		if err := p.Toxics.RemoveToxic(l.t.Context(), x.Name); err != nil {
			l.t.Logf("remove toxic: %v", err)
		}
	}
}

// soak is a deployment under faults.
type soak struct {
	d     *deployment
	links *links
	// hostMu and linkMu serialize the faults of each host's process and the cuts of each
	// link, as faults overlap.
	hostMu []sync.Mutex
	linkMu []sync.Mutex
	// evacuationMu serializes the evacuations of soakEvacuated.
	evacuationMu sync.Mutex
	evacuations  *evacuationMonitor
	wg           sync.WaitGroup
	disruptions  disruptions
}

// run injects the faults of a plan and returns when all have ended.
func (s *soak) run(plan []fault) {
	start := time.Now()
	for _, f := range plan {
		time.Sleep(time.Until(start.Add(f.start)))
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.inject(f)
		}()
	}
	s.wg.Wait()
}

// deciderIndex returns the index of the host that wrote the pool's last heartbeat, or 0 if
// there is none.
func (s *soak) deciderIndex() int {
	var b struct{ Host string }
	if json.Unmarshal(s.d.platform.Store.Value("heartbeats", "", "pool"), &b) != nil {
		return 0
	}
	return max(slices.IndexFunc(s.d.hosts, func(h *hostProcess) bool { return h.name == b.Host }), 0)
}

// inject injects a fault, waits for its duration and ends it. Faults of the same host's
// process wait for each other, as do cuts of the same link.
func (s *soak) inject(f fault) {
	defer s.disruptions.begin()()
	if f.host == deciderHost {
		f.host = s.deciderIndex()
	}
	h := s.d.hosts[f.host]
	withTrouble := func(t plat.StoreFaults) {
		h.endpoint.SetFaults(t)
		time.Sleep(f.duration)
		h.endpoint.SetFaults(plat.StoreFaults{})
	}
	withToxic := func(stream, kind, attributes string) {
		undo := s.links.addToxic(f.link, stream, kind, attributes)
		time.Sleep(f.duration)
		undo()
	}
	withProcess := func(down, up func()) {
		s.hostMu[f.host].Lock()
		defer s.hostMu[f.host].Unlock()
		down()
		time.Sleep(f.duration)
		up()
	}
	start := func() {
		if f.share > 0 {
			h.cpuShare = f.share
			s.d.writeSettings(h, 5000)
		}
		s.d.startHost(h)
		// A signal sent before the program listens could reach the process before it
		// handles signals.
		s.d.await(h.name+" listens", func() bool {
			c, err := net.Dial("tcp", h.readyAddress)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
	}
	switch f.kind {
	case faultKill:
		withProcess(h.kill, start)
	case faultPlannedStop:
		withProcess(func() { h.signal(s.d.t, syscall.SIGTERM); <-h.exited }, start)
	case faultPause:
		withProcess(func() { h.signal(s.d.t, syscall.SIGSTOP) }, func() { h.signal(s.d.t, syscall.SIGCONT) })
	case faultChangeSettings:
		withProcess(func() { s.d.writeSettings(h, 4000+int(f.duration.Milliseconds())); h.signal(s.d.t, syscall.SIGHUP) }, func() {})
	case faultStopFrozen:
		withProcess(func() { h.signal(s.d.t, syscall.SIGSTOP); h.signal(s.d.t, syscall.SIGTERM) }, func() { h.signal(s.d.t, syscall.SIGCONT); <-h.exited; start() })
	case faultStopAndKill:
		withProcess(func() { h.signal(s.d.t, syscall.SIGTERM) }, func() { h.kill(); start() })
	case faultSettingsSeries:
		withProcess(func() {
			for n := range soakSeries {
				s.d.writeSettings(h, 4000+n)
				h.signal(s.d.t, syscall.SIGHUP)
				time.Sleep(seriesPause)
			}
		}, func() {})
	case faultRejectHost:
		withTrouble(plat.StoreFaults{Status: http.StatusServiceUnavailable})
	case faultUnresponsiveStore:
		withTrouble(plat.StoreFaults{Unresponsive: true})
	case faultSlowStore:
		withTrouble(plat.StoreFaults{Delay: 150 * time.Millisecond})
	case faultLoseAnswers:
		withTrouble(plat.StoreFaults{LoseOneIn: 4, LateBy: 300 * time.Millisecond})
	case faultSlowLink:
		withToxic("downstream", "latency", `{"latency":120,"jitter":80}`)
	case faultDropRequests:
		withToxic("upstream", "timeout", `{"timeout":0}`)
	case faultDropResponses:
		withToxic("downstream", "timeout", `{"timeout":0}`)
	case faultCutLink:
		s.linkMu[f.link].Lock()
		defer s.linkMu[f.link].Unlock()
		s.links.proxies[f.link].Stop()
		time.Sleep(f.duration)
		s.links.startProxy(s.links.proxies[f.link])
	case faultChangeConfiguration:
		s.hostMu[0].Lock()
		defer s.hostMu[0].Unlock()
		s.d.configureDefault()
	case faultEvacuation:
		s.evacuationMu.Lock()
		defer s.evacuationMu.Unlock()
		s.evacuations.evacuate(soakEvacuated)
		time.Sleep(f.duration)
		s.evacuations.withdraw(soakEvacuated)
	case faultConfigurationsSeries:
		s.hostMu[0].Lock()
		defer s.hostMu[0].Unlock()
		for range soakSeries {
			s.d.configureDefault()
			time.Sleep(seriesPause)
		}
	}
}
