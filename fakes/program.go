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

// program is what a simulated task does. A job sets it by the arguments
// Run=DURATION, Output=TEXT, OutputBytes=N, Fail and Resume.
type program struct {
	runTime     time.Duration
	output      string
	outputBytes int
	fail        bool
	resumes     bool // the task continues from its checkpoint
}

// parseProgram returns the program in an order's arguments. It ignores unknown arguments.
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

func (p *program) memberOutput(member int) []byte {
	if p.outputBytes > 0 {
		return bytes.Repeat([]byte{byte('a' + member%26)}, p.outputBytes)
	}
	return fmt.Appendf(nil, "%s#%d\n", p.output, member)
}

// checkpointName returns the name of the object with the progress of a task.
func checkpointName(id target.TaskID) string {
	return fmt.Sprintf("checkpoint~%s~%s~%d", id.Job.Account, id.Job.ID, id.Member)
}

// saveCheckpoint stores an active task's run time in the background. The caller holds t.mu.
func (t *Target) saveCheckpoint(k *task) {
	if k.State != target.Active {
		return
	}
	d := k.resumedFrom + time.Since(k.startTime)
	go t.objects.Put(context.Background(), checkpointName(k.ID), []byte(d.String()))
}

// loadCheckpoint returns the run time in the checkpoint, 0 if it is missing or unreadable.
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

// remainingTime returns the task's remaining run time, 0 if it is to fail. The caller holds t.mu.
func (t *Target) remainingTime(k *task) time.Duration {
	if t.faults.FailAll || k.program.fail {
		return 0
	}
	return max(k.program.runTime-k.resumedFrom, 0)
}
