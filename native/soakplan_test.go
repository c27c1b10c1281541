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

// The faults of a soak.
const (
	faultKill              = "host is killed and started"
	faultStop              = "host is stopped as planned and started"
	faultFreeze            = "host is frozen"
	faultReload            = "host's settings change"
	faultRejectHost        = "store rejects host"
	faultUnresponsiveStore = "store doesn't answer host"
	faultSlowStore         = "store is slow for host"
	faultLoseAnswers       = "store's answers to host get lost, and writes are late"
	faultSlowLink          = "link is slow"
	faultCutLink           = "link is cut and its connections are closed"
	faultDropRequests      = "link carries nothing there"
	faultDropResponses     = "link carries nothing back"
	faultConfigure         = "configuration changes"
	soakFaultCount         = 14
	soakFaultWindow        = 18 * time.Second
	longestSoakFault       = 3500 * time.Millisecond
	shortestSoakFault      = 100 * time.Millisecond
	// longLinkFactor times as long is one link in three away, up to more than a lease.
	longLinkFactor = 4
	// deciderHost stands for the host that decides when the fault strikes.
	deciderHost = -1
)

var faultKinds = []string{
	faultKill, faultStop, faultFreeze, faultReload, faultRejectHost, faultUnresponsiveStore, faultSlowStore, faultLoseAnswers, faultSlowLink, faultCutLink, faultDropRequests, faultDropResponses, faultConfigure,
}

// fault is one fault of a plan. It strikes a host, or the decider, or a link of a
// host to the store or of all hosts to a worker.
type fault struct {
	start, duration time.Duration
	kind            string
	host, link      int
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s, for %4.2f s: %s (host %d, link %d)", f.start.Seconds(), f.duration.Seconds(), f.kind, f.host, f.link)
}

// planFaults returns the faults of a seed in the order in which they begin. They
// overlap, and one in four comes again at once.
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
	slices.SortFunc(l, func(a, b fault) int { return int(min(max(a.start-b.start, -1), 1)) })
	return l
}

// TestSoakPlanRepeats checks that a seed names one plan.
func TestSoakPlanRepeats(t *testing.T) {
	a, b := planFaults(7, 4, 16), planFaults(7, 4, 16)
	if !slices.Equal(a, b) || slices.Equal(a, planFaults(8, 4, 16)) {
		t.Errorf("%v\n%v", a, b)
	}
}

// links are the proxies through which hosts reach the store and the workers.
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

// addProxy returns the address of a new proxy of an address. It is on an address of
// its own, so that its port stays free while the link is cut.
func (l *links) addProxy(upstream string) string {
	p := toxiproxy.NewProxy(l.server, fmt.Sprint("link-", len(l.proxies)), freeAddresses(l.t, loopbackIPsUsed.Add(1))[0], upstream)
	l.startProxy(p)
	l.proxies = append(l.proxies, p)
	return p.Listen
}

// startProxy starts a proxy. A process that is being started holds the port for a
// moment, as it inherits the listener that found it free.
func (l *links) startProxy(p *toxiproxy.Proxy) {
	var err error
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err = p.Start(); err == nil {
			return
		}
	}
	l.t.Errorf("proxy of %s: %v", p.Upstream, err)
}

// addToxic puts a toxic on a link and returns how to take it off.
func (l *links) addToxic(link int, stream, kind, attributes string) func() {
	p := l.proxies[link]
	x, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":"t%d","type":%q,"stream":%q,"attributes":%s}`, toxicCount.Add(1), kind, stream, attributes)))
	if err != nil {
		l.t.Errorf("toxic: %v", err)
		return func() {}
	}
	return func() {
		if err := p.Toxics.RemoveToxic(l.t.Context(), x.Name); err != nil {
			l.t.Logf("toxic: %v", err)
		}
	}
}

// soak is a deployment under faults.
type soak struct {
	d     *deployment
	links *links
	// hostMu guards what strikes each host, as faults overlap.
	hostMu []sync.Mutex
	linkMu []sync.Mutex
	wg     sync.WaitGroup
}

// run plays a plan of faults to its end.
func (s *soak) run(plan []fault) {
	began := time.Now()
	for _, f := range plan {
		time.Sleep(time.Until(began.Add(f.start)))
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.inject(f)
		}()
	}
	s.wg.Wait()
}

// deciderIndex returns the host that last told that it decides.
func (s *soak) deciderIndex() int {
	var b struct{ Host string }
	if json.Unmarshal(s.d.platform.Store.Value("heartbeats", "", "pool"), &b) != nil {
		return 0
	}
	return max(slices.IndexFunc(s.d.hosts, func(h *hostProcess) bool { return h.name == b.Host }), 0)
}

// inject brings a fault about and ends it. Faults of one host's process, and of
// one link, wait for each other.
func (s *soak) inject(f fault) {
	if f.host == deciderHost {
		f.host = s.deciderIndex()
	}
	h := s.d.hosts[f.host]
	withTrouble := func(t plat.Trouble) {
		h.endpoint.Set(t)
		time.Sleep(f.duration)
		h.endpoint.Set(plat.Trouble{})
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
		s.d.startHost(h)
		// A signal right behind the start would meet no program yet.
		s.d.await(h.name+" listens", func() bool {
			c, err := net.Dial("tcp", h.ready)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
	}
	switch f.kind {
	case faultKill:
		withProcess(h.kill, start)
	case faultStop:
		withProcess(func() { h.signal(s.d.t, syscall.SIGTERM); <-h.exited }, start)
	case faultFreeze:
		withProcess(func() { h.signal(s.d.t, syscall.SIGSTOP) }, func() { h.signal(s.d.t, syscall.SIGCONT) })
	case faultReload:
		withProcess(func() { s.d.writeSettings(h, 4000+int(f.duration.Milliseconds())); h.signal(s.d.t, syscall.SIGHUP) }, func() {})
	case faultRejectHost:
		withTrouble(plat.Trouble{Status: http.StatusServiceUnavailable})
	case faultUnresponsiveStore:
		withTrouble(plat.Trouble{Silent: true})
	case faultSlowStore:
		withTrouble(plat.Trouble{Delay: 150 * time.Millisecond})
	case faultLoseAnswers:
		withTrouble(plat.Trouble{LoseOneIn: 4, LateBy: 300 * time.Millisecond})
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
	case faultConfigure:
		s.hostMu[0].Lock()
		defer s.hostMu[0].Unlock()
		s.d.configureDefault()
	}
}
