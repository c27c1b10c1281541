package itest

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citronbridge/admin"
	"citronbridge/client"
	"citronbridge/entry"
	"citronbridge/fakes"
	"citronbridge/httpc"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/table"
	"citronbridge/target"
)

var (
	seed  = flag.Uint64("seed", 11, "seed of the faults and the load")
	steps = flag.Int("steps", 24, "number of faults that TestChaos injects")
)

// chaosRun is a deployment under load into which random faults are injected.
type chaosRun struct {
	*cluster
	r *rand.Rand
	// pendingRepairs counts the faults that have not been repaired yet.
	pendingRepairs sync.WaitGroup
	// faulty holds what has a fault now: host names, target IDs, links and services.
	faulty map[string]bool
	mu     sync.Mutex

	proposals, revisions history
}

// TestChaos runs load on 8 hosts and 48 targets while hosts and targets are killed, paused
// and cut off, the table service fails and operators propose concurrently. Faults may
// repeat and overlap. Afterwards every request has exactly one outcome that agrees with
// the targets' logs, and no task, room or open row is left over.
func TestChaos(t *testing.T) {
	t.Logf("seed %d, %d faults", *seed, *steps)
	centres := []string{"dc1", "dc2", "dc3", "dc4"}
	var hosts []string
	for i := range 8 {
		hosts = append(hosts, centres[i%4])
	}
	c := &chaosRun{cluster: newCluster(t, layout{hosts: hosts, targetCentres: centres, racksPerCentre: 2, targetsPerRack: 6}), r: rand.New(rand.NewPCG(*seed, 1)), faulty: map[string]bool{}}
	c.proposals = history{name: "proposals", model: manifestModel}
	c.revisions = history{name: "revisions", model: monotonicModel}
	c.propose(chaosManifest())
	c.proposals.add(proposeInput{0}, int64(1), 0, 1)
	c.awaitDeciders()
	var stop atomic.Bool
	var wg sync.WaitGroup
	loads := make([]*accountLoad, len(chaosAccounts))
	for i, a := range chaosAccounts {
		loads[i] = &accountLoad{c: c, account: a, r: rand.New(rand.NewPCG(*seed, uint64(100+i)))}
		wg.Add(1)
		go func() {
			defer wg.Done()
			loads[i].run(&stop)
		}()
	}
	for range *steps {
		c.injectFault()
		time.Sleep(time.Duration(100+c.r.IntN(500)) * time.Millisecond)
	}
	c.pendingRepairs.Wait()
	c.setTableFaults(fakes.TableFaults{})
	stop.Store(true)
	wg.Wait()
	c.checkResults(loads)
	c.checkCleanState()
}

var chaosAccounts = []string{"one", "two", "three", "four"}

// chaosManifest gives each of the chaosAccounts a guarantee in a data centre of its own: a
// gang of 4 members with 8 accelerators each.
func chaosManifest() rules.Manifest {
	m := manifest(nil, nil)
	m.Accounts = nil
	m.CastingVote = "one"
	for i, a := range chaosAccounts {
		m.Accounts = append(m.Accounts, rules.Account{Name: a, TokenHash: entry.HashToken(a + "-token"), Limits: ampleLimits, Guarantees: []rules.Guarantee{newGuarantee(fmt.Sprintf("dc%d", i+1), 4, 8)}})
	}
	return m
}

// markFaulty marks a component as faulty and reports whether it may get a fault. It
// refuses a component that has one already, and any host while 3 hosts have one.
func (c *chaosRun) markFaulty(component string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := 0
	for k := range c.faulty {
		if strings.HasPrefix(k, "h") {
			hosts++
		}
	}
	if c.faulty[component] || strings.HasPrefix(component, "h") && hosts >= 3 {
		return false
	}
	c.faulty[component] = true
	return true
}

// scheduleRepair ends a fault of a component after a random 0.3 to 2.8 s.
func (c *chaosRun) scheduleRepair(component string, repair func()) {
	d := time.Duration(300+c.r.IntN(2500)) * time.Millisecond
	c.pendingRepairs.Add(1)
	time.AfterFunc(d, func() {
		defer c.pendingRepairs.Done()
		repair()
		c.mu.Lock()
		delete(c.faulty, component)
		c.mu.Unlock()
	})
}

// injectFault draws one fault and injects it, unless markFaulty refuses it.
func (c *chaosRun) injectFault() {
	h := c.hosts[c.r.IntN(len(c.hosts))]
	o := c.hosts[c.r.IntN(len(c.hosts))]
	w := c.targets[c.r.IntN(len(c.targets))]
	switch n := c.r.IntN(9); {
	case n == 0 && c.markFaulty(h.name):
		h.kill()
		c.scheduleRepair(h.name, func() { c.restart(h) })
	case n == 1 && c.markFaulty(h.name):
		h.signal(syscall.SIGSTOP)
		c.scheduleRepair(h.name, func() { h.signal(syscall.SIGCONT) })
	case n == 2 && c.markFaulty(h.name):
		h.signal(syscall.SIGTERM)
		c.scheduleRepair(h.name, func() { <-h.exited; c.restart(h) })
	case n == 3 && c.markFaulty("cut"+h.name+o.name) && h != o:
		c.cutLink(h.name, o.name)
		c.scheduleRepair("cut"+h.name+o.name, func() { c.restoreLink(h.name, o.name) })
	case n == 4 && c.markFaulty("drop"+h.name):
		removeToxic := c.addToxic(link{h.name, "table"}, "downstream", "timeout", `{"timeout":0}`)
		c.scheduleRepair("drop"+h.name, removeToxic)
	case n == 5 && c.markFaulty("table"):
		f := fakes.TableFaults{Outage: c.r.IntN(2) == 0, LosePercent: 30, Seed: *seed}
		c.setTableFaults(f)
		c.scheduleRepair("table", func() { c.setTableFaults(fakes.TableFaults{}) })
	case n == 6 && c.markFaulty(w.listEntry.ID):
		c.killTarget(w)
		c.scheduleRepair(w.listEntry.ID, func() { c.startTarget(w); c.updateHostLists() })
	case n == 7 && c.markFaulty(w.listEntry.ID):
		w.signal(syscall.SIGSTOP)
		c.scheduleRepair(w.listEntry.ID, func() { w.signal(syscall.SIGCONT) })
	case n == 8 && h != o:
		go c.proposeAt(h)
		c.proposeAt(o)
	}
}

// proposeAt proposes a manifest at a host, based on the revision that this host reports,
// and adds both operations to their histories.
func (c *chaosRun) proposeAt(h *hostProcess) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	k := c.client(operatorToken, h)
	call := time.Now().UnixNano()
	cur, err := k.Manifest(ctx)
	if err != nil {
		return
	}
	c.withLock(func() { c.revisions.add(monotonicInput{h.name}, cur.Number, call, time.Now().UnixNano()) })
	id := fmt.Sprintf("%s-%d", h.name, call)
	call = time.Now().UnixNano()
	for {
		v, err := k.Propose(ctx, &admin.Proposal{ID: id, Base: cur.Number, Manifest: chaosManifest()})
		p := client.ProblemOf(err)
		switch {
		case err == nil:
			c.withLock(func() { c.proposals.add(proposeInput{cur.Number}, v.Number, call, time.Now().UnixNano()) })
		case p != nil && p.Status == http.StatusConflict:
			c.withLock(func() { c.proposals.add(proposeInput{cur.Number}, int64(0), call, time.Now().UnixNano()) })
		case ctx.Err() == nil:
			time.Sleep(50 * time.Millisecond)
			continue
		default:
			// The outcome is unknown. If the proposal was accepted, the history of revisions
			// shows it.
			c.withLock(func() { c.proposals.name = "proposals (some with unknown outcome)" })
		}
		return
	}
}

// withLock calls f with the lock held.
func (c *chaosRun) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// accountLoad sends the requests of one account and keeps their specs.
type accountLoad struct {
	c       *chaosRun
	account string
	r       *rand.Rand
	specs   []*jobs.Spec
}

// run submits jobs until stop is set, and tries to cancel about a sixth of them.
func (l *accountLoad) run(stop *atomic.Bool) {
	for n := 0; !stop.Load(); n++ {
		s := newSpec(fmt.Sprintf("%s-%d", l.account, n), time.Duration(20+l.r.IntN(600))*time.Millisecond, gangOf(1+l.r.IntN(6), 1+l.r.IntN(8)))
		s.NonIdempotent = l.r.IntN(2) == 0
		s.Checkpoints = !s.NonIdempotent && l.r.IntN(2) == 0
		k := l.client()
		l.c.submit(k, s)
		l.specs = append(l.specs, s)
		if l.r.IntN(6) == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			k.Cancel(ctx, s.ID)
			cancel()
		}
		time.Sleep(time.Duration(l.r.IntN(150)) * time.Millisecond)
	}
}

// client returns a client that tries all hosts in a random order.
func (l *accountLoad) client() *client.Client {
	h := append([]*hostProcess(nil), l.c.hosts...)
	l.r.Shuffle(len(h), func(i, j int) { h[i], h[j] = h[j], h[i] })
	return l.c.cluster.client(l.account+"-token", h...)
}

// checkResults audits every request against the targets' logs and checks all histories
// against their models.
func (c *chaosRun) checkResults(loads []*accountLoad) {
	requests := history{name: "requests", model: requestModel}
	epochs := history{name: "reservation epochs at targets", model: monotonicModel}
	var total auditResult
	specs := map[jobs.Key]*jobs.Spec{}
	for _, l := range loads {
		began := time.Now().UnixNano()
		v := c.audit(l.client(), l.specs)
		total.jobs, total.done, total.notRun = total.jobs+v.jobs, total.done+v.done, total.notRun+v.notRun
		total.unknown, total.other, total.partial = total.unknown+v.unknown, total.other+v.other, total.partial+v.partial
		total.longestPartial = max(total.longestPartial, v.longestPartial)
		for _, s := range l.specs {
			k := jobs.Key{Account: l.account, ID: s.ID}
			specs[k] = s
			a, err := l.client().Status(context.Background(), s.ID)
			must(c.t, err)
			requests.add(requestInput{key: k.String()}, a.Outcome, began, time.Now().UnixNano())
		}
	}
	for k, l := range c.events() {
		for _, e := range l {
			at := e.Time.UnixNano()
			switch e.Event {
			case "Start":
				s := specs[k]
				requests.add(requestInput{k.String(), true, e.Task.Attempt, s != nil && s.NonIdempotent}, jobs.Outcome(""), at, at)
			case "Reserve":
				epochs.add(monotonicInput{e.target}, e.Task.Attempt.Epoch, at, at)
			}
		}
	}
	c.t.Logf("%+v", total)
	acquisitions := c.cellAcquisitions()
	for _, h := range []*history{&requests, &epochs, &acquisitions, &c.proposals, &c.revisions} {
		h.check(c.t)
	}
}

// cellAcquisitions reads from the logs of all hosts which cells they acquired, and under
// which epochs.
func (c *chaosRun) cellAcquisitions() history {
	t := history{name: "cell acquisitions", model: cellEpochModel}
	for _, h := range c.hosts {
		for _, path := range h.logPaths {
			c.addAcquisitions(path, &t)
		}
	}
	return t
}

// addAcquisitions adds the acquisitions in one log file to t. The epoch serves as the time
// of an acquisition, so that the model rejects an epoch that was used twice.
func (c *chaosRun) addAcquisitions(path string, t *history) {
	f, err := os.Open(path)
	must(c.t, err)
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var v struct {
			Message, Cell string
			Epoch         int64
		}
		if json.Unmarshal(s.Bytes(), &v) == nil && v.Message == "cell taken" {
			t.add(acquireInput{v.Cell}, v.Epoch, v.Epoch*10, v.Epoch*10+1)
		}
	}
}

// checkCleanState checks that the deployment returns to an idle state: no open row, no
// task, all room free, a decider for each cell, and no surplus goroutines.
func (c *chaosRun) checkCleanState() {
	t := c.t
	store := httpc.New("http://" + c.tableAddress)
	eventually(t, "no open rows are left in the table", func() bool {
		var p table.Page
		return store.Do(context.Background(), http.MethodGet, "/scan?Prefix=Open/&Limit=10", nil, &p) == nil && len(p.Rows) == 0
	})
	for _, w := range c.targets {
		eventually(t, "no tasks are left at "+w.listEntry.ID, func() bool {
			var l []target.Task
			return w.control.Do(context.Background(), http.MethodGet, "/tasks", nil, &l) == nil && len(l) == 0
		})
	}
	c.awaitDeciders()
	l, err := c.client(operatorToken).Targets(context.Background())
	must(t, err)
	for _, v := range l {
		if v.Free != v.Room {
			t.Errorf("target %s: only %+v free of %+v", v.ID, v.Free, v.Room)
		}
	}
	for _, h := range c.hosts {
		c.awaitIdle(h)
	}
}

// Goroutines of a host without work. idleHostGoroutines covers the connections with 7
// peers, in each direction, the host's own tasks and its servers. idleTargetGoroutines
// covers, for each target of the host's cells, a watch, the connections for the watch
// and for orders, and the proxied ends of these connections.
const (
	idleHostGoroutines   = 130
	idleTargetGoroutines = 10
)

// awaitIdle waits until a host has fewer goroutines than the limit for an idle host with
// its cells. Leaked connections show up in them as well.
func (c *chaosRun) awaitIdle(h *hostProcess) {
	goroutines, limit := 0.0, 0.0
	// All polls use the same clients: the connections of new ones would add to the
	// goroutines that are counted.
	operator, metrics := c.client(operatorToken, h), httpc.New("http://"+h.httpAddress())
	defer func() { c.t.Logf("%s: %g goroutines, limit %g", h.name, goroutines, limit) }()
	eventually(c.t, h.name+" is idle", func() bool {
		l, err := operator.Hosts(context.Background())
		if err != nil {
			return false
		}
		_, b, err := metrics.DoRaw(context.Background(), http.MethodGet, "/metrics", nil)
		if err != nil {
			return false
		}
		limit = idleHostGoroutines + idleTargetGoroutines*float64(len(l[0].Cells)*len(c.targets)/len(c.layout.targetCentres))
		for line := range strings.Lines(string(b)) {
			fmt.Sscanf(line, "go_goroutines %g", &goroutines)
		}
		return goroutines > 0 && goroutines < limit
	})
}
