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
	faultKill         = "host is killed and started"
	faultStop         = "host is stopped as planned and started"
	faultFreeze       = "host is frozen"
	faultReload       = "host's settings change"
	faultRefuse       = "store rejects host"
	faultSilent       = "store doesn't answer host"
	faultSlow         = "store is slow for host"
	faultLose         = "store's answers to host get lost, and writes are late"
	faultDelay        = "link is slow"
	faultReset        = "link is cut and its connections are closed"
	faultForward      = "link carries nothing there"
	faultBack         = "link carries nothing back"
	faultConfigure    = "configuration changes"
	soakFaults        = 14
	soakFaultsFor     = 18 * time.Second
	longestSoakFault  = 3500 * time.Millisecond
	shortestSoakFault = 100 * time.Millisecond
	// longLink times as long is one link in three away, up to more than a lease.
	longLink = 4
	// deciderHost stands for the host that decides when the fault strikes.
	deciderHost = -1
)

var faultKinds = []string{
	faultKill, faultStop, faultFreeze, faultReload, faultRefuse, faultSilent, faultSlow, faultLose, faultDelay, faultReset, faultForward, faultBack, faultConfigure,
}

// fault is one fault of a plan. It strikes a host, or the decider, or a link of a
// host to the store or of all hosts to a worker.
type fault struct {
	at, length time.Duration
	kind       string
	host, link int
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s, for %4.2f s: %s (host %d, link %d)", f.at.Seconds(), f.length.Seconds(), f.kind, f.host, f.link)
}

// planFaults returns the faults of a seed in the order in which they begin. They
// overlap, and one in four comes again at once.
func planFaults(seed uint64, hosts, links int) []fault {
	r := rand.New(rand.NewPCG(seed, 11))
	var l []fault
	for len(l) < soakFaults {
		f := fault{
			at: time.Duration(r.Int64N(int64(soakFaultsFor))), length: shortestSoakFault + time.Duration(r.Int64N(int64(longestSoakFault-shortestSoakFault))),
			kind: faultKinds[r.IntN(len(faultKinds))], host: max(r.IntN(2*hosts)-hosts, deciderHost), link: r.IntN(links),
		}
		if r.IntN(3) == 0 && (f.kind == faultForward || f.kind == faultBack || f.kind == faultReset) {
			f.length *= longLink
		}
		l = append(l, f)
		if r.IntN(4) == 0 {
			f.at += f.length + 50*time.Millisecond
			l = append(l, f)
		}
	}
	slices.SortFunc(l, func(a, b fault) int { return int(min(max(a.at-b.at, -1), 1)) })
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

// to returns the address of a new proxy of an address. It is on an address of
// its own, so that its port stays free while the link is cut.
func (l *links) to(upstream string) string {
	p := toxiproxy.NewProxy(l.server, fmt.Sprint("link-", len(l.proxies)), addresses(l.t, hostsMade.Add(1))[0], upstream)
	l.start(p)
	l.proxies = append(l.proxies, p)
	return p.Listen
}

// start starts a proxy. A process that is being started holds the port for a
// moment, as it inherits the listener that found it free.
func (l *links) start(p *toxiproxy.Proxy) {
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err = p.Start(); err == nil {
			return
		}
	}
	l.t.Errorf("proxy of %s: %v", p.Upstream, err)
}

// toxic puts a toxic on a link and returns how to take it off.
func (l *links) toxic(link int, stream, kind, attributes string) func() {
	p := l.proxies[link]
	x, err := p.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(`{"name":"t%d","type":%q,"stream":%q,"attributes":%s}`, toxicsMade.Add(1), kind, stream, attributes)))
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
	// mu guards what strikes each host, as faults overlap.
	mu  []sync.Mutex
	cut []sync.Mutex
	wg  sync.WaitGroup
}

// run plays a plan of faults to its end.
func (s *soak) run(plan []fault) {
	began := time.Now()
	for _, f := range plan {
		time.Sleep(time.Until(began.Add(f.at)))
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.strike(f)
		}()
	}
	s.wg.Wait()
}

// deciding returns the host that last told that it decides.
func (s *soak) deciding() int {
	var b struct{ Host string }
	if json.Unmarshal(s.d.p.Store.Value("heartbeats", "", "pool"), &b) != nil {
		return 0
	}
	return max(slices.IndexFunc(s.d.hosts, func(h *hostProcess) bool { return h.name == b.Host }), 0)
}

// strike brings a fault about and ends it. Faults of one host's process, and of
// one link, wait for each other.
func (s *soak) strike(f fault) {
	if f.host == deciderHost {
		f.host = s.deciding()
	}
	h := s.d.hosts[f.host]
	trouble := func(t plat.StoreFaults) {
		h.door.SetFaults(t)
		time.Sleep(f.length)
		h.door.SetFaults(plat.StoreFaults{})
	}
	toxic := func(stream, kind, attributes string) {
		undo := s.links.toxic(f.link, stream, kind, attributes)
		time.Sleep(f.length)
		undo()
	}
	process := func(down, up func()) {
		s.mu[f.host].Lock()
		defer s.mu[f.host].Unlock()
		down()
		time.Sleep(f.length)
		up()
	}
	start := func() {
		s.d.start(h)
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
		process(h.kill, start)
	case faultStop:
		process(func() { h.signal(s.d.t, syscall.SIGTERM); <-h.ended }, start)
	case faultFreeze:
		process(func() { h.signal(s.d.t, syscall.SIGSTOP) }, func() { h.signal(s.d.t, syscall.SIGCONT) })
	case faultReload:
		process(func() { s.d.write(h, 4000+int(f.length.Milliseconds())); h.signal(s.d.t, syscall.SIGHUP) }, func() {})
	case faultRefuse:
		trouble(plat.StoreFaults{Status: http.StatusServiceUnavailable})
	case faultSilent:
		trouble(plat.StoreFaults{Unresponsive: true})
	case faultSlow:
		trouble(plat.StoreFaults{Delay: 150 * time.Millisecond})
	case faultLose:
		trouble(plat.StoreFaults{LoseOneIn: 4, LateBy: 300 * time.Millisecond})
	case faultDelay:
		toxic("downstream", "latency", `{"latency":120,"jitter":80}`)
	case faultForward:
		toxic("upstream", "timeout", `{"timeout":0}`)
	case faultBack:
		toxic("downstream", "timeout", `{"timeout":0}`)
	case faultReset:
		s.cut[f.link].Lock()
		defer s.cut[f.link].Unlock()
		s.links.proxies[f.link].Stop()
		time.Sleep(f.length)
		s.links.start(s.links.proxies[f.link])
	case faultConfigure:
		s.mu[0].Lock()
		defer s.mu[0].Unlock()
		s.d.configureDefault()
	}
}
