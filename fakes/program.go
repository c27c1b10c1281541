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
	runTime     time.Duration
	output      string
	outputBytes int
	fail        bool
	// resumes says that the task goes on from its checkpoint.
	resumes bool
}

func parseProgram(o *target.Order) program {
	var p program
	for _, a := range o.Arguments {
		k, v, _ := strings.Cut(a, "=")
		switch k {
		case "Run":
			p.runTime, _ = time.ParseDuration(v)
		case "Output":
			p.output = v
		case "OutputBytes":
			p.outputBytes, _ = strconv.Atoi(v)
		case "Fail":
			p.fail = true
		case "Resume":
			p.resumes = true
		}
	}
	return p
}

// memberOutput returns what the member of that number puts out.
func (p *program) memberOutput(member int) []byte {
	if p.outputBytes > 0 {
		return bytes.Repeat([]byte{byte('a' + member%26)}, p.outputBytes)
	}
	return fmt.Appendf(nil, "%s#%d\n", p.output, member)
}

// checkpointName names the object that holds the progress of a task.
func checkpointName(id target.TaskID) string {
	return fmt.Sprintf("checkpoint~%s~%s~%d", id.Job.Account, id.Job.ID, id.Member)
}

// saveCheckpoint stores how long a task has run.
func (t *Target) saveCheckpoint(k *task) {
	if k.State != target.Active {
		return
	}
	d := k.resumedFrom + time.Since(k.startTime)
	go t.objects.Put(context.Background(), checkpointName(k.ID), []byte(d.String()))
}

// loadCheckpoint returns the run time that a checkpoint of the task holds, or 0.
func (t *Target) loadCheckpoint(id target.TaskID) time.Duration {
	b, err := t.objects.Get(context.Background(), checkpointName(id))
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return 0
	}
	return d
}

// remainingTime returns the run time that is left behind a checkpoint.
func (t *Target) remainingTime(k *task) time.Duration {
	if t.faults.FailAll || k.program.fail {
		return 0
	}
	return max(k.program.runTime-k.resumedFrom, 0)
}
