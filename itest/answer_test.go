package itest

import (
	"bytes"
	"context"
	"testing"
	"time"

	"citronbridge/fakes"
	"citronbridge/jobs"
)

// TestAnswers asks for answers while targets repeat and truncate them, while a
// host dies under a waiting caller, and under an ID that two accounts use.
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
		t.Fatalf("%s %s: %d parts", v.Outcome, v.Detail, len(v.Parts))
	}
	for i, p := range v.Parts {
		if !bytes.Equal(p.Data, bytes.Repeat([]byte{byte('a' + i)}, 300000)) {
			t.Errorf("member %d: %d bytes", i, len(p.Data))
		}
	}
}

// TestAnswerTruncated lets every target truncate its output: the caller gets a
// failure, never a part of the answer.
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
		t.Errorf("%s %s with %d parts", v.Outcome, v.Detail, len(v.Parts))
	}
}
