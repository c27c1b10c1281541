package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"citronbridge/fakes/model"
)

// maxEnds is how many ended runs a worker returns at a time.
const maxEnds = 500

// endsPager stands in front of a worker. It returns at most maxEnds ended runs at a time, as
// the protocol says, and notes up to which end they were taken note of.
type endsPager struct {
	backend string
	// lastLapse returns when the worker was last without a valid lease.
	lastLapse func() time.Duration
	mu        sync.Mutex
	// notes has an entry for each rise of seen-upto.
	notes []note
	// longest is the longest list of ended runs that the worker had.
	longest int
}

// note says that all ends up to seen are taken note of, and when the worker was last without a
// valid lease by then.
type note struct {
	seen  int64
	lapse time.Duration
}

// noteOf returns the first note that covers an end, or false if there is none.
func (p *endsPager) noteOf(n int64) (note, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.notes {
		if x.seen >= n {
			return x, true
		}
	}
	return note{}, false
}

func (p *endsPager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var hold struct {
		Seen int64 `json:"seen-upto"`
	}
	if r.URL.Path == "/-/hold" && json.Unmarshal(in, &hold) == nil && hold.Seen > 0 {
		lapse := p.lastLapse()
		p.mu.Lock()
		if len(p.notes) == 0 || p.notes[len(p.notes)-1].seen < hold.Seen {
			p.notes = append(p.notes, note{hold.Seen, lapse})
		}
		p.mu.Unlock()
	}
	q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.backend+r.URL.Path, bytes.NewReader(in))
	if err != nil {
		panic(err)
	}
	q.Header = r.Header.Clone()
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer a.Body.Close()
	out, err := io.ReadAll(a.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/-/hold" && a.StatusCode == http.StatusOK {
		var m map[string]json.RawMessage
		var ended []json.RawMessage
		if json.Unmarshal(out, &m) == nil && json.Unmarshal(m["ended"], &ended) == nil {
			p.mu.Lock()
			p.longest = max(p.longest, len(ended))
			p.mu.Unlock()
			if len(ended) > maxEnds {
				m["ended"], _ = json.Marshal(ended[:maxEnds])
				out, _ = json.Marshal(m)
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.StatusCode)
	w.Write(out)
}

// ends runs several jobs of many small tasks, which end at about the same time on one worker.
// With trouble, the store is down meanwhile. No task may start after a run of it is done.
func ends(b *bed) (bool, error) {
	const (
		jobs    = 21
		width   = 90
		work    = 8 * time.Second
		downFor = 4500 * time.Millisecond
	)
	pagers := map[string]*endsPager{}
	b.inFront = func(id, address string) (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		p := &endsPager{backend: address, lastLapse: func() (at time.Duration) {
			b.platform.Lock(func(c *model.Cluster) { at = c.Workers[id].LastLapse() })
			return at
		}}
		pagers[id] = p
		s := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
		go s.Serve(l)
		return l.Addr().String(), nil
	}
	if err := b.start(3, 6); err != nil {
		return false, err
	}
	// All workers are known to the decider by then.
	time.Sleep(2 * time.Second)
	type end struct {
		worker string
		n      int64
		at     time.Duration
	}
	var mu sync.Mutex
	doneAt := map[string]end{}
	starts, again := 0, []string{}
	perWorker := map[string]int{}
	againAfter := map[string]end{}
	firstEnd := make(chan struct{}, 1)
	b.platform.Lock(func(c *model.Cluster) {
		c.OnStart = func(w *model.Worker, r *model.ActiveRun) {
			mu.Lock()
			defer mu.Unlock()
			starts++
			perWorker[w.ID]++
			if e, ok := doneAt[r.Task]; ok {
				again = append(again, r.Task)
				againAfter[r.Task] = e
				b.logf("worker %s starts %s run %d, after its run on %s ended done at %.3f s", w.ID, r.Task, r.Run, e.worker, e.at.Seconds())
			}
		}
		c.OnEnd = func(w *model.Worker, e model.End) {
			if e.How != "done" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if _, ok := doneAt[e.Task]; !ok {
				doneAt[e.Task] = end{w.ID, e.N, time.Since(b.began)}
			}
			select {
			case firstEnd <- struct{}{}:
			default:
			}
		}
	})
	body := jobBody(0, time.Time{}, 0, stepOf{profile: model.TaskProfile{Work: work, CPU: 100, Memory: 200}, count: width})
	for n := range jobs {
		if !b.submit("/batch/"+jobID(n), body, 10*time.Second) {
			return false, fmt.Errorf("%w: job %d wasn't accepted", errCannotRun, n)
		}
	}
	b.logf("%d jobs of %d tasks are accepted", jobs, width)
	if !await(20*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return starts == jobs*width }) {
		return false, fmt.Errorf("%w: %d of %d tasks have started", errCannotRun, starts, jobs*width)
	}
	mu.Lock()
	b.logf("all tasks have started, by worker: %v; %d are done", perWorker, len(doneAt))
	mu.Unlock()
	<-firstEnd
	if b.trouble {
		b.store.setDown(true)
		b.logf("the store is down, for %v", downFor)
	}
	time.Sleep(downFor)
	b.store.setDown(false)
	b.logf("the store is up")
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, t := range again {
		e := againAfter[t]
		x, noted := pagers[e.worker].noteOf(e.n)
		if !noted || x.lapse > e.at-100*time.Millisecond {
			// The end was never taken note of, or the lease may have lapsed between the two.
			continue
		}
		broken++
		b.logf("TWICE: %s was started again after its run on %s ended done at %.3f s; that end, number %d, was taken note of with seen-upto %d; the worker's lease began at %.3f s and didn't lapse until then",
			t, e.worker, e.at.Seconds(), e.n, x.seen, x.lapse.Seconds())
	}
	for id, p := range pagers {
		if p.longest > 0 {
			b.logf("worker %s: the longest list of ends had %d entries", id, p.longest)
		}
	}
	for n := range jobs {
		b.logf("job %d is shown as %s", n, b.state("/batch/"+jobID(n)))
	}
	b.logf("%d tasks were started again after they were done", broken)
	return broken > 0, nil
}
