package itest

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"citronbridge/fakes"
	"citronbridge/jobs"
	"citronbridge/rules"
)

func guarantee(dc string, n, a int) rules.Guarantee {
	g := rules.Guarantee{DataCentre: dc, Shape: shape(n, a, jobs.AdjacentRack)}
	g.Shape.Each.Processors = 32
	return g
}

// TestReclaim lets one account fill a rack, then calls for what another is
// guaranteed, while something fails.
func TestReclaim(t *testing.T) {
	for _, x := range []struct {
		name string
		// stubborn says that borrowers ignore checkpoints, so that the reclaim
		// takes as long as its bound for them.
		stubborn bool
		// fault strikes once borrowers are being stopped.
		fault func(c *cluster)
	}{
		{"Plain", false, func(*cluster) {}},
		{"CheckpointIgnored", true, func(*cluster) {}},
		{"StopIgnored", true, func(c *cluster) {
			c.backing(kelani).faults(c.t, fakes.TargetFaults{IgnoreCheckpoint: true, IgnoreStop: true})
		}},
		{"DeciderKilled", true, func(c *cluster) { c.decider("dc1").kill() }},
		{"DeciderFrozen", true, func(c *cluster) { c.decider("dc1").signal(syscall.SIGSTOP) }},
		{"StoreOut", true, func(c *cluster) {
			c.faults(fakes.TableFaults{Outage: true})
			time.AfterFunc(5*time.Second, func() { c.faults(fakes.TableFaults{}) })
		}},
		{"TargetLost", true, func(c *cluster) { c.killTarget(c.backing(kelani)) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, layout{hosts: []string{"dc1", "dc1", "dc1"}, centres: []string{"dc1"}, racks: 1, perRack: 6})
			c.propose(manifest([]rules.Guarantee{guarantee("dc1", 2, 8)}, []rules.Guarantee{guarantee("dc1", 1, 8)}))
			c.awaitDeciders()
			a, k := c.client(agency+"-token"), c.client(kelani+"-token")
			for i := range 6 {
				c.submit(a, job(fmt.Sprintf("b%d", i), time.Hour, gangOf(1, 8), func(s *jobs.Spec) {
					s.Checkpoints = true
					s.Arguments = append(s.Arguments, "Resume")
				}))
			}
			for _, w := range c.targets {
				w.faults(t, fakes.TargetFaults{IgnoreCheckpoint: x.stubborn})
			}
			eventually(t, "borrowers fill the rack", func() bool { return c.running(agency) == 6 })
			s := job("claim", 100*time.Millisecond, gangOf(2, 8), nonIdempotent)
			c.submit(k, s)
			asked := time.Now()
			eventually(t, "borrowers make room", func() bool {
				e, err := k.Explain(context.Background(), s.ID)
				return err == nil && len(e.Events) > 1
			})
			x.fault(c)
			if x.name == "DeciderFrozen" {
				defer func() {
					for _, h := range c.hosts {
						h.signal(syscall.SIGCONT)
					}
				}()
			}
			c.done(c.client(kelani+"-token", c.alive()...), s)
			e, err := c.client(kelani+"-token", c.alive()...).Status(context.Background(), "claim")
			must(t, err)
			t.Logf("%s: reclaimed in %s", x.name, e.Started.Sub(asked))
			if testing.Verbose() {
				ex, _ := c.client(kelani+"-token", c.alive()...).Explain(context.Background(), "claim")
				for _, v := range ex.Events {
					t.Log(v.Time.Sub(asked), v.What, v.Detail, v.Host, v.Epoch)
				}
			}
			if c.running(agency) == 0 {
				t.Error("the account lost its own guarantee")
			}
		})
	}
}

// running counts the tasks of an account that run now.
func (c *cluster) running(account string) int {
	n := 0
	for k, l := range c.events() {
		if k.Account != account {
			continue
		}
		for _, e := range l {
			switch e.Event {
			case "Start":
				n++
			case "End":
				n--
			}
		}
	}
	return n
}

// alive returns the hosts that answer.
func (c *cluster) alive() []*member {
	var l []*member
	for _, h := range c.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if c.client(operatorToken, h).Ready(ctx) == nil {
			l = append(l, h)
		}
		cancel()
	}
	return l
}

// backing returns a target that stands behind an account's guarantee.
func (c *cluster) backing(account string) *worker {
	var found *worker
	eventually(c.t, "a target of the guarantee of "+account, func() bool {
		l, err := c.client(operatorToken).Targets(context.Background())
		if err != nil {
			return false
		}
		for _, v := range l {
			for _, g := range v.Guarantees {
				if g == account+"/0" {
					found = c.worker(v.ID)
				}
			}
		}
		return found != nil
	})
	return found
}

func (c *cluster) worker(id string) *worker {
	for _, w := range c.targets {
		if w.host.ID == id {
			return w
		}
	}
	return nil
}
