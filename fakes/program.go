package fakes

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"citronbridge/target"
)

// program is what a pretended task does. Its arguments are Run=DURATION,
// Output=TEXT, OutputBytes=N, Fail and Resume.
type program struct {
	run   time.Duration
	text  string
	bytes int
	fail  bool
	// resumes says that the task goes on from its checkpoint.
	resumes bool
}

func parse(o *target.Order) program {
	var p program
	for _, a := range o.Arguments {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "Run":
			p.run, _ = time.ParseDuration(v)
		case "Output":
			p.text = v
		case "OutputBytes":
			p.bytes, _ = strconv.Atoi(v)
		case "Fail":
			p.fail = true
		case "Resume":
			p.resumes = true
		}
	}
	return p
}

// output returns what the member of that number puts out.
func (p *program) output(member int) []byte {
	if p.bytes > 0 {
		return bytes.Repeat([]byte{byte('a' + member%26)}, p.bytes)
	}
	return fmt.Appendf(nil, "%s#%d\n", p.text, member)
}

// checkpoint names the object that holds the progress of a task.
func checkpoint(id target.TaskID) string {
	return fmt.Sprintf("checkpoint~%s~%s~%d", id.Job.Account, id.Job.ID, id.Member)
}

// save stores how long a task has run.
func (t *Target) save(k *task) {
	if k.State != target.Active {
		return
	}
	d := k.resumed + time.Since(k.began)
	go t.objects.Put(context.Background(), checkpoint(k.ID), []byte(d.String()))
}

// saved returns the run time that a checkpoint of the task holds, or 0.
func (t *Target) saved(id target.TaskID) time.Duration {
	b, err := t.objects.Get(context.Background(), checkpoint(id))
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return 0
	}
	return d
}

// remaining returns the run time that is left behind a checkpoint.
func (t *Target) remaining(k *task) time.Duration {
	if t.faults.FailAll || k.program.fail {
		return 0
	}
	return max(k.program.run-k.resumed, 0)
}
