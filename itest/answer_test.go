package itest

import (
	"bytes"
	"context"
	"testing"
	"time"

	"citronbridge/fakes"
	"citronbridge/jobs"
)

// TestAnswers reads answers while targets repeat their reports, one target truncates its
// output, and the host that the clients try first is killed. Two accounts use the same
// job ID, and each must get its own answer. An answer that is too large to be part of a
// report must be complete as well.
func TestAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, twoCentreLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	for i, w := range c.targets {
		w.setFaults(t, fakes.TargetFaults{RepeatReports: true, TruncateOutput: i == 0})
	}
	k, a := c.client(kelani+"-token"), c.client(agency+"-token")
	one, two := newSpec("same", 300*time.Millisecond), newSpec("same", 300*time.Millisecond)
	two.Arguments[1] = "Output=other"
	one.Retries, two.Retries = 5, 5
	c.submit(k, one)
	c.submit(a, two)
	big := newSpec("big", 10*time.Millisecond)
	big.Retries = 5
	big.Arguments = []string{"OutputBytes=300000"}
	c.submit(k, big)
	c.hosts[0].kill()
	c.awaitDone(k, one)
	v, err := a.Answer(context.Background(), "same", awaitTimeout)
	must(t, err)
	two.ID = "other"
	checkCompleteAnswer(t, two, &v)
	v, err = k.Answer(context.Background(), "big", awaitTimeout)
	must(t, err)
	if len(v.Parts) != 2 {
		t.Fatalf("outcome %s (%s) with %d parts, want 2", v.Outcome, v.Detail, len(v.Parts))
	}
	for i, p := range v.Parts {
		if !bytes.Equal(p.Data, bytes.Repeat([]byte{byte('a' + i)}, 300000)) {
			t.Errorf("member %d: wrong output of %d bytes", i, len(p.Data))
		}
	}
}

// TestAnswerTruncated lets every target truncate its output. The job must fail, and the
// caller must not get a truncated answer.
func TestAnswerTruncated(t *testing.T) {
	t.Parallel()
	c := newCluster(t, twoCentreLayout)
	c.propose(manifest(nil, nil))
	c.awaitDeciders()
	for _, w := range c.targets {
		w.setFaults(t, fakes.TargetFaults{TruncateOutput: true})
	}
	k := c.client(kelani + "-token")
	s := newSpec("cut", 10*time.Millisecond)
	c.submit(k, s)
	v, err := k.Answer(context.Background(), s.ID, awaitTimeout)
	must(t, err)
	if v.Outcome != jobs.Failed || len(v.Parts) != 0 {
		t.Errorf("outcome %s (%s) with %d parts, want a failure without parts", v.Outcome, v.Detail, len(v.Parts))
	}
}
