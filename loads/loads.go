// Package loads holds recorded loads of a pool: its workers, queues and accounts, and which
// jobs came when. A load is recorded from the hosts' logs, and replayed by tests of the
// decisions that it is meant for.
package loads

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"citronbridge/fault"
	"citronbridge/units"
	"citronbridge/work"
)

// Load is a recorded load.
type Load struct {
	Workers  Workers
	Queues   []Queue
	Accounts []Account
	Jobs     []Job
	// Absences are the times in which workers are away, for whatever reason.
	Absences []Absence `json:",omitempty"`
}

// Workers describes the workers of a pool, which are all alike.
type Workers struct {
	Count    int
	PerRack  int
	Capacity work.Amounts
	// StopTime is how long a worker takes to stop a run. FarFactor is the factor by which
	// work takes longer away from its data, or spread over racks.
	StopTime  units.Duration
	FarFactor float64
	// ReclaimTime is the time within which urgent work within a guarantee must start.
	ReclaimTime units.Duration
}

// Queue is a queue with its terms, and what the job of mean size earns in it.
type Queue struct {
	Name     string
	Priority int
	Stretch  float64
	Slack    units.Duration
	// Worth is earned by a job that is done in time, LateWorth by one that takes up to three
	// times as long.
	Worth, LateWorth float64
}

// Account is a client account with the accelerators that it is guaranteed.
type Account struct {
	Name       string
	Guaranteed int64
}

// Job is a job that came to the pool.
type Job struct {
	// At is when it came, from the start of the load.
	At    units.Duration
	Queue string
	// Account is the name of the client account.
	Account string
	Steps   []work.Step
	// CanceledAfter is how long after its arrival the job was cancelled, 0 if it wasn't.
	CanceledAfter units.Duration `json:",omitempty"`
}

// Absence is a time in which a worker takes no tasks. What runs there when it begins is lost,
// unless the worker drains for Notice before.
type Absence struct {
	// Worker is the worker's number, counting from 0.
	Worker int
	From   units.Duration
	Notice units.Duration `json:",omitempty"`
	// For is how long the absence lasts, 0 if the worker doesn't return.
	For units.Duration `json:",omitempty"`
}

// Read reads a load and checks it.
func Read(r io.Reader) (*Load, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	l := &Load{}
	if err := d.Decode(l); err != nil {
		return nil, fmt.Errorf("decode load: %w", err)
	}
	if f := l.Check(); len(f) > 0 {
		return nil, f
	}
	return l, nil
}

// Write writes the load in the form that Read reads, with one job a line.
func (l *Load) Write(w io.Writer) error {
	head := *l
	head.Jobs = []Job{}
	b, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode load: %w", err)
	}
	before, after, _ := bytes.Cut(b, []byte(`"Jobs":[]`))
	var out bytes.Buffer
	out.Write(before)
	out.WriteString(`"Jobs":[`)
	for i := range l.Jobs {
		j, err := json.Marshal(&l.Jobs[i])
		if err != nil {
			return fmt.Errorf("encode job %d: %w", i, err)
		}
		if i > 0 {
			out.WriteByte(',')
		}
		out.WriteByte('\n')
		out.Write(j)
	}
	out.WriteByte(']')
	out.Write(after)
	out.WriteByte('\n')
	if _, err := out.WriteTo(w); err != nil {
		return fmt.Errorf("write load: %w", err)
	}
	return nil
}

var _ fault.Checker = (*Load)(nil)

// Check returns all faults of the load.
func (l *Load) Check() fault.List {
	var f fault.List
	f.CheckRange("Workers.Count", int64(l.Workers.Count), 1, 100_000)
	f.CheckRange("Workers.PerRack", int64(l.Workers.PerRack), 1, int64(max(l.Workers.Count, 1)))
	f.Check(l.Workers.FarFactor >= 1, "Workers.FarFactor", l.Workers.FarFactor, "1 or more")
	queues := map[string]bool{}
	for _, q := range l.Queues {
		queues[q.Name] = true
	}
	for i := range l.Jobs {
		j := &l.Jobs[i]
		p := fmt.Sprintf("Jobs[%d].", i)
		f.Check(queues[j.Queue], p+"Queue", j.Queue, "the name of a queue of the load")
		f.Check(j.At >= 0, p+"At", j.At, "a duration of 0 or more")
		w := work.Job{ID: id(i), Steps: j.Steps}
		f = append(f, w.Check().WithPrefix(p)...)
	}
	for i, a := range l.Absences {
		f.CheckRange(fmt.Sprintf("Absences[%d].Worker", i), int64(a.Worker), 0, int64(l.Workers.Count)-1)
	}
	return f
}

// id returns the ID of the job with index i.
func id(i int) string { return fmt.Sprintf("%016x", i+1) }

// Work returns the work of a job in core-seconds, by its estimates.
func (j *Job) Work() float64 {
	var w float64
	for i := range j.Steps {
		s := &j.Steps[i]
		w += float64(s.Count) * s.Demand.Cores() * s.Estimate.Seconds()
	}
	return w
}

// Duration returns the length of the load: when its last job came.
func (l *Load) Duration() time.Duration {
	var d time.Duration
	for i := range l.Jobs {
		d = max(d, l.Jobs[i].At.D())
	}
	return d
}
