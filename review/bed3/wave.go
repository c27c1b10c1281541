package main

import (
	"encoding/json"
	"fmt"
	"time"

	"citronbridge/fakes/model"
)

// waveState returns the state of a wave as the operator reads it, "" if there is none.
func (b *bed) waveState(n int64) string {
	var s struct{ State string }
	json.Unmarshal(b.platform.Store.Value("status", "", fmt.Sprint("wave/", n)), &s)
	return s.State
}

// requestWave requests a wave, one machine at a time.
func (b *bed) requestWave(n int64, machines ...string) {
	key, v := b.platform.RequestWave(model.Wave{N: n, Machines: machines, Cap: 1}, 20*time.Second)
	b.log("operator: op/%s = %s", key, v)
}

// notBegun returns the machines of a wave that haven't begun their upkeep.
func (b *bed) notBegun(n int64, machines ...string) []string {
	var l []string
	b.platform.Lock(func(c *model.Cluster) {
		for _, m := range machines {
			if !c.MaintenanceBegun(m, n) {
				l = append(l, m)
			}
		}
	})
	return l
}

// newMachines: a wave for two machines succeeds; workers are added; a wave for their machines is
// requested.
func newMachines(b *bed, trouble bool) (string, error) {
	if err := b.addWorkers(desk, "w", 12); err != nil {
		return "", err
	}
	added := func() error { return b.addWorkers(desk, "x", 3) }
	if !trouble {
		if err := added(); err != nil {
			return "", err
		}
	}
	if err := b.start(); err != nil {
		return "", err
	}
	first := []string{"m-w0", "m-w1"}
	b.requestWave(1, first...)
	if err := await("wave 1 has succeeded", 40*time.Second, func() bool { return b.waveState(1) == "succeeded" }); err != nil {
		return "", err
	}
	b.log("status/wave/1: succeeded; upkeep not begun: %v", b.notBegun(1, first...))
	time.Sleep(3 * time.Second)
	if trouble {
		if err := added(); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second)
	second := []string{"m-x0", "m-x1", "m-x2"}
	b.requestWave(2, second...)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if b.waveState(2) != "succeeded" {
			continue
		}
		if l := b.notBegun(2, second...); len(l) > 0 {
			b.log("status/wave/2: succeeded; upkeep not begun: %v", l)
			time.Sleep(10 * time.Second)
			return fmt.Sprintf("wave 2 is said to be succeeded, and %v haven't begun their upkeep; 10 s later %v haven't", l, b.notBegun(2, second...)), nil
		}
		b.log("status/wave/2: succeeded, all machines have had their upkeep")
		return "", nil
	}
	return "", fmt.Errorf("wave 2 hasn't ended, its state is %q", b.waveState(2))
}
