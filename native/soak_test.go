package native

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"citronbridge/fakes/model"
)

var (
	soakSeed  = flag.Uint64("soak-seed", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak-seeds", 2, "how many seeds the soak runs")
)

// Numbers of hosts, workers and concurrent clients in a soak.
const (
	soakHosts   = 4
	soakWorkers = 12
	soakClients = 6
)

// soakCalm is for how long clients go on after the last fault of a soak: until jobs that they
// submitted once it was calm could starve.
const soakCalm = calmTime + 2*maxStarvation

var toxicCount atomic.Int64

// callInput is a client's call on a job: the job's ID and the HTTP method.
type callInput struct {
	job    string
	method string
}

// jobState is what jobModel knows of a job: whether it was accepted, whether its cancel
// was, whether its cancel found no such job, and the final state that a client has seen, if
// any. No other state may follow that.
type jobState struct {
	accepted, canceled, withdrawn bool
	final                         string
}

// jobModel is the sequential model of a job as clients observe it. A call whose outcome is
// unknown may have been carried out, may be so at any later time, or never.
var jobModel = (&porcupine.NondeterministicModel{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		m := map[string][]porcupine.Operation{}
		for _, o := range h {
			k := o.Input.(callInput).job
			m[k] = append(m[k], o)
		}
		var l [][]porcupine.Operation
		for _, p := range m {
			l = append(l, p)
		}
		return l
	},
	Init: func() []any { return []any{jobState{}} },
	Step: func(state, input, output any) []any {
		s, out := state.(jobState), output.(string)
		switch input.(callInput).method {
		case http.MethodPost:
			next := s
			next.accepted = true
			switch out {
			case "200":
				return []any{next}
			case "429", "503":
				if s.accepted {
					return nil
				}
				return []any{s}
			}
			return []any{s, next}
		case http.MethodDelete:
			next := s
			next.canceled = true
			switch {
			case out == "410":
				if s.accepted && s.final == "" {
					return nil
				}
				s.withdrawn = s.withdrawn || !s.accepted
				return []any{s}
			case out == "200" && s.accepted:
				return []any{next}
			case out == "200":
				return nil
			}
			return []any{s, next}
		}
		switch out {
		case "pending", "running":
			if s.accepted && s.final == "" && !s.withdrawn {
				return []any{s}
			}
		case "succeeded", "canceled":
			possible := out == "succeeded" && !s.withdrawn || out == "canceled" && (s.canceled || s.withdrawn)
			if s.accepted && (s.final == "" || s.final == out) && possible {
				s.final = out
				return []any{s}
			}
		case "410":
			if !s.accepted {
				return []any{s}
			}
		case "failed":
		default:
			return []any{s}
		}
		return nil
	},
}).ToModel()

// history collects the calls of all clients and their answers.
type history struct {
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// unknownReturn is the return time of a call whose outcome is unknown: as it may still be
// carried out at any time, it lies after the end of the test.
const unknownReturn = int64(time.Hour)

// record adds a call and its answer.
func (h *history) record(client int, in callInput, from time.Time, out string) {
	o := porcupine.Operation{ClientId: client, Input: in, Call: from.Sub(h.began).Nanoseconds(), Output: out, Return: time.Since(h.began).Nanoseconds()}
	if in.method != http.MethodGet && (out == "0" || out == "502" || out == "504") {
		o.Return = unknownReturn
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

// soakClient submits jobs, cancels some and polls their states, over connections that are
// kept alive.
type soakClient struct {
	index     int
	d         *deployment
	history   *history
	rng       *rand.Rand
	job       func(r *rand.Rand) string
	submitted int
	accepted  []string
	rejected  map[string]bool
	// canceled holds the jobs for which a cancel was sent, whatever the answer.
	canceled map[string]bool
	// withdrawn holds the jobs whose cancel found no such job.
	withdrawn map[string]bool
}

func (c *soakClient) id(n int) string { return fmt.Sprintf("%08x%08x", c.index+1, n) }

// call sends a call to a random host, records it, and returns the answer: the job's state
// for a GET, or else the status. Calls other than GET have a random deadline.
func (c *soakClient) call(method, id, body string) string {
	h := c.d.hosts[c.rng.IntN(len(c.d.hosts))]
	from := time.Now()
	var out string
	if method == http.MethodGet {
		out = h.state("/batch/", id)
	} else {
		status, _ := h.callWithDeadline(time.Duration(200+c.rng.IntN(2800))*time.Millisecond, method, "/batch/"+id, apiKey, body)
		out = fmt.Sprint(status)
	}
	c.history.record(c.index, callInput{id, method}, from, out)
	return out
}

// soakJob returns the body of a random job of one step.
func soakJob(r *rand.Rand) string {
	n := 1 + r.IntN(4)
	s := step{shape: model.TaskProfile{Work: time.Duration(50+r.IntN(1500)) * time.Millisecond, Checkpoint: r.IntN(2) == 0, CPU: 1000, Memory: 1000, Accelerators: 1 + r.Int64N(3)}, count: n}
	if n > 1 && r.IntN(2) == 0 {
		s.shape.Gang = n
	}
	return jobBody(s)
}

// submit submits a job, again and again until a host accepts or rejects it, or the client
// gives up and cancels it. A rejected job isn't submitted again: none of its tasks may start.
func (c *soakClient) submit() {
	c.submitted++
	id := c.id(c.submitted)
	body := c.job(c.rng)
	for {
		switch out := c.call(http.MethodPost, id, body); out {
		case "200":
			c.accepted = append(c.accepted, id)
			return
		case "429", "503":
			c.rejected[id] = true
			return
		default:
			if c.rng.IntN(4) == 0 && c.withdraw(id) {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// withdraw cancels a job whose submission had no answer, until a host answers. It reports
// false if the job is to be submitted again nevertheless.
func (c *soakClient) withdraw(id string) bool {
	c.canceled[id] = true
	for {
		switch c.call(http.MethodDelete, id, "") {
		case "200":
			c.accepted = append(c.accepted, id)
			return true
		case "410":
			c.withdrawn[id] = true
			return c.rng.IntN(2) == 0
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// run sends calls until ended is closed.
func (c *soakClient) run(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		default:
		}
		switch {
		case len(c.accepted) == 0 || c.rng.IntN(3) == 0:
			c.submit()
		case c.rng.IntN(12) == 0:
			id := c.accepted[c.rng.IntN(len(c.accepted))]
			c.canceled[id] = true
			c.call(http.MethodDelete, id, "")
		default:
			c.call(http.MethodGet, c.accepted[c.rng.IntN(len(c.accepted))], "")
		}
		time.Sleep(time.Duration(100+c.rng.IntN(300)) * time.Millisecond)
	}
}

// TestSoak injects random faults into host processes and their links while clients submit,
// follow and cancel jobs.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed, soakKind{
				hosts: soakHosts, workers: soakWorkers, job: soakJob, flood: soakFlood,
				plan: func(links int) []fault { return planFaults(seed, soakHosts, links) },
			})
		})
	}
}

// soakKind says what a soak runs.
type soakKind struct {
	hosts, workers int
	// maxAttempts is how often a task may fail, 0 for the default of the deployments.
	maxAttempts int
	// flood is the number of connections with unfinished bodies.
	flood int
	// plan returns the faults, for a number of links; job the body of a random job.
	plan func(links int) []fault
	job  func(r *rand.Rand) string
}

// runSoak runs the soak of one seed. Accepted jobs must succeed unless a client canceled
// them, no task of a rejected, withdrawn or incomplete submission may start, no two runs of a
// task may overlap, and the history of the calls must be linearizable under jobModel.
func runSoak(t *testing.T, seed uint64, k soakKind) {
	d := newDeployment(t, 2*time.Minute)
	s := &soak{d: d, links: newLinks(t), hostMu: make([]sync.Mutex, k.hosts)}
	d.proxyFor, d.maxAttempts, d.evacuateMS = s.links.addProxy, k.maxAttempts, evacuateTime.Milliseconds()
	for i := 0; i < k.workers; i += 2 {
		d.platform.AssignDataCentre(fmt.Sprint("w", i), soakEvacuated)
	}
	d.launch(k.hosts, k.workers)
	s.linkMu = make([]sync.Mutex, len(s.links.proxies))
	plan := k.plan(len(s.links.proxies))
	var text []string
	for _, f := range plan {
		text = append(text, f.String())
	}
	t.Logf("seed %d:\n%s", seed, strings.Join(text, "\n"))

	w := d.monitorRunsAllowingLapses()
	s.evacuations = d.monitorEvacuations()
	still := newStarvations(d, w, &s.disruptions)
	stopWatch := still.watch()
	h := &history{began: time.Now()}
	var clients []*soakClient
	ended := make(chan struct{})
	var wg sync.WaitGroup
	for n := range soakClients {
		c := &soakClient{index: n, d: d, history: h, job: k.job, rng: rand.New(rand.NewPCG(seed, uint64(n))), rejected: map[string]bool{}, canceled: map[string]bool{}, withdrawn: map[string]bool{}}
		clients = append(clients, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(ended)
		}()
	}
	stopFlood := d.startFlood(seed, k.flood)
	s.run(plan)
	time.Sleep(soakCalm)
	stopFlood()
	close(ended)
	wg.Wait()
	for _, x := range d.hosts {
		d.awaitReady(x)
	}
	for _, c := range clients {
		for _, id := range c.accepted {
			d.await(id+" has a final state", func() bool {
				out := c.call(http.MethodGet, id, "")
				return out == "succeeded" || out == "canceled" && c.canceled[id]
			})
		}
	}
	stopWatch()
	still.check(t)
	s.evacuations.check()
	n, withdrawn := d.checkRuns(w), 0
	d.platform.Lock(func(*model.Cluster) {
		for task := range w.started {
			if strings.HasPrefix(task, soakFloodPrefix) {
				t.Errorf("task %s has started, but the body of its submission never ended", task)
			}
		}
		for _, c := range clients {
			for task := range w.started {
				id, _, _ := strings.Cut(task, ".")
				if c.rejected[id] || c.withdrawn[id] {
					t.Errorf("job %s was rejected: %v, withdrawn: %v, but its task %s has started", id, c.rejected[id], c.withdrawn[id], task)
				}
			}
			withdrawn += len(c.withdrawn)
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := porcupine.CheckOperationsTimeout(jobModel, h.ops, time.Minute); r != porcupine.Ok {
		t.Errorf("linearizability check of the clients' %d calls: %s", len(h.ops), r)
	}
	t.Logf("seed %d: %d calls, %d tasks done, %d jobs withdrawn", seed, len(h.ops), n, withdrawn)
}

// TestJobModel checks that jobModel accepts correct histories and rejects faulty ones.
func TestJobModel(t *testing.T) {
	const post, get, cancel = http.MethodPost, http.MethodGet, http.MethodDelete
	for _, x := range []struct {
		name  string
		calls []string
		outs  []string
		good  bool
	}{
		{"has succeeded", []string{post, get, get, get}, []string{"200", "pending", "running", "succeeded"}, true},
		{"is canceled", []string{post, cancel, get, get}, []string{"200", "200", "running", "canceled"}, true},
		{"ends before its cancel", []string{post, cancel, get}, []string{"200", "200", "succeeded"}, true},
		{"is carried out although the answer was lost", []string{post, get, post}, []string{"504", "running", "200"}, true},
		{"was rejected", []string{post, get}, []string{"503", "410"}, true},
		{"is unknown after it was accepted", []string{post, get}, []string{"200", "410"}, false},
		{"runs although it was rejected", []string{post, get}, []string{"503", "running"}, false},
		{"runs again after it succeeded", []string{post, get, get}, []string{"200", "succeeded", "running"}, false},
		{"is canceled without a request", []string{post, get}, []string{"200", "canceled"}, false},
		{"changes its final state", []string{post, cancel, get, get}, []string{"200", "200", "canceled", "succeeded"}, false},
		{"fails without a cause", []string{post, get}, []string{"200", "failed"}, false},
		{"is unknown to its cancel", []string{post, cancel}, []string{"200", "410"}, false},
		{"is stored as canceled after its cancel", []string{post, cancel, get, post, get}, []string{"504", "410", "410", "200", "canceled"}, true},
		{"runs after its cancel found no job", []string{post, cancel, get}, []string{"504", "410", "running"}, false},
		{"succeeds after its cancel found no job", []string{cancel, post, get}, []string{"410", "200", "succeeded"}, false},
	} {
		h := &history{began: time.Now()}
		for i, c := range x.calls {
			h.record(1, callInput{"a", c}, time.Now(), x.outs[i])
		}
		if got := porcupine.CheckOperations(jobModel, h.ops); got != x.good {
			t.Errorf("a job that %s: history is accepted: %v, want the opposite", x.name, got)
		}
	}
}
