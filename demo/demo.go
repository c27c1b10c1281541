// Package demo runs a whole deployment in one process on loopback ports: hosts of
// the scheduler, and fakes of the platform's services and targets.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"citronbridge/admin"
	"citronbridge/client"
	"citronbridge/config"
	"citronbridge/entry"
	"citronbridge/fakes"
	"citronbridge/fleet"
	"citronbridge/host"
	"citronbridge/jobs"
	"citronbridge/rules"
	"citronbridge/units"
)

// ErrNotDone means that a gang ended with another outcome than Done.
var ErrNotDone = errors.New("gang not done")

// The token of operators, the timeout of the demo, the number of racks in each data
// centre and targets in each rack, and the rate limits of the fake table service.
const (
	OperatorToken   = "operator-token"
	Timeout         = 50 * time.Second
	racksPerCentre  = 2
	targetsPerRack  = 3
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// The data centres, the data centre of each host, and what each target has room for.
var (
	dataCentres = []string{"cmb-1", "cmb-2"}
	hostCentres = []string{"cmb-1", "cmb-2", "cmb-1"}
	targetRoom  = jobs.Room{Accelerators: 8, Processors: 64, Memory: 256 << 30, Slots: 8}
)

// Demo is a deployment that runs in this process.
type Demo struct {
	// Out receives the demo's output for people, Err the hosts' logs.
	Out, Err io.Writer
	fakePlatform
	Hosts []*host.Host
}

// fakePlatform holds the fakes of the platform's services. hostEntries is the content
// that hostList serves.
type fakePlatform struct {
	table, objects, hostList *fakes.Server
	hostEntries              *fakes.Hosts
}

// Manifest returns the manifest of the demo: two accounts, each with a guarantee in
// one of the data centres.
func Manifest() rules.Manifest {
	shape := jobs.Shape{Members: 2, Each: jobs.Room{Accelerators: 8, Processors: 32, Memory: 64 << 30}, Adjacency: jobs.AdjacentRack}
	return rules.Manifest{
		Kinds:       []rules.Kind{{Name: "headline", FloorPercent: 20}, {Name: "digest", FloorPercent: 20}},
		CastingVote: "night-desk",
		Accounts: []rules.Account{
			{Name: "night-desk", TokenHash: entry.HashToken("night-desk-token"), Guarantees: []rules.Guarantee{{DataCentre: "cmb-1", Shape: shape}}},
			{Name: "exporters", TokenHash: entry.HashToken("exporters-token"), Guarantees: []rules.Guarantee{{DataCentre: "cmb-2", Shape: shape}}},
		},
	}
}

// Start starts the fakes and the hosts.
func (d *Demo) Start(ctx context.Context) error {
	if err := d.startPlatform(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "table service %s, object store %s, host list %s\n", d.table.URL(), d.objects.URL(), d.hostList.URL())
	log := zerolog.New(d.Err).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	for i, dc := range hostCentres {
		s := config.Defaults()
		s.Host, s.DataCentre = fmt.Sprintf("host-%d", i+1), dc
		s.HTTPAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
		s.Platform = config.Platform{Table: d.table.URL(), Objects: d.objects.URL(), Hosts: d.hostList.URL()}
		s.OperatorTokenHash = entry.HashToken(OperatorToken)
		s.Bounds.DrainGrace = units.Duration(10 * time.Millisecond)
		h, err := host.New(&s, log)
		if err != nil {
			return err
		}
		d.Hosts = append(d.Hosts, h)
		d.hostEntries.Set(fleet.Host{ID: s.Host, Role: fleet.Entry, Address: h.PeerAddress(), DataCentre: dc})
		go h.Run(context.Background())
		fmt.Fprintf(d.Out, "%s in %s: callers %s, hosts %s\n", s.Host, dc, h.HTTPAddress(), h.PeerAddress())
	}
	return nil
}

// startPlatform starts the fakes of the platform's services and the targets, which
// are two racks in each data centre.
func (d *Demo) startPlatform(ctx context.Context) error {
	var err error
	if d.table, err = fakes.Listen("127.0.0.1:0", fakes.NewTable(writesPerSecond, readsPerSecond).Handler()); err != nil {
		return err
	}
	if d.objects, err = fakes.Listen("127.0.0.1:0", fakes.NewObjects().Handler()); err != nil {
		return err
	}
	d.hostEntries = fakes.NewHosts(0)
	if d.hostList, err = fakes.Listen("127.0.0.1:0", d.hostEntries.Handler()); err != nil {
		return err
	}
	for _, dc := range dataCentres {
		for i := range racksPerCentre * targetsPerRack {
			h := fleet.Host{ID: fmt.Sprintf("%s-target-%d", dc, i+1), Role: fleet.Target, DataCentre: dc, Rack: fmt.Sprintf("%s-rack-%d", dc, i/targetsPerRack+1), Room: targetRoom}
			t := fakes.NewTarget(h.ID, h.Room, d.objects.URL())
			go t.Expire(ctx)
			s, err := fakes.Listen("127.0.0.1:0", t.Handler())
			if err != nil {
				return err
			}
			h.Address = s.Address
			d.hostEntries.Set(h)
		}
	}
	return nil
}

// Stop drains all hosts and returns once they have stopped.
func (d *Demo) Stop() {
	for _, h := range d.Hosts {
		h.Drain()
	}
	for _, h := range d.Hosts {
		<-h.Stopped()
	}
}

// Client returns a client that tries the host with index first before the others.
func (d *Demo) Client(first int, token string) (*client.Client, error) {
	var l []string
	for i := range d.Hosts {
		l = append(l, d.Hosts[(first+i)%len(d.Hosts)].HTTPAddress())
	}
	return client.New(l, token, nil)
}

// RunGangs proposes the manifest, then runs one gang of each account.
func (d *Demo) RunGangs(ctx context.Context) error {
	o, err := d.Client(0, OperatorToken)
	if err != nil {
		return err
	}
	m := Manifest()
	if err := d.Propose(ctx, o, &m); err != nil {
		return err
	}
	for i, a := range m.Accounts {
		if err := d.runGang(ctx, i, a.Name); err != nil {
			return fmt.Errorf("gang of %s: %w", a.Name, err)
		}
	}
	return nil
}

// Propose proposes the manifest every 100 ms until it is accepted or ctx ends. Hosts
// refuse it as long as they don't know the targets that back its guarantees.
func (d *Demo) Propose(ctx context.Context, o *client.Client, m *rules.Manifest) error {
	for {
		v, err := o.Propose(ctx, &admin.Proposal{ID: "demo", Manifest: *m})
		if err == nil {
			fmt.Fprintf(d.Out, "manifest accepted as revision %d\n", v.Number)
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// runGang submits the gang of an account to one host and reads the answer from
// another. i is the account's index.
func (d *Demo) runGang(ctx context.Context, i int, account string) error {
	c, err := d.Client(i, account+"-token")
	if err != nil {
		return err
	}
	id := account + "-1"
	s := &jobs.Spec{
		ID: id, Caller: "demo", Kind: "headline", RunTime: units.Duration(time.Second), NonIdempotent: i == 1,
		Shape:     jobs.Shape{Members: 2, Each: jobs.Room{Accelerators: 8, Processors: 8, Memory: 16 << 30}, Adjacency: jobs.AdjacentRack},
		Arguments: []string{"Run=300ms", "Output=" + account},
	}
	if err := d.submit(ctx, c, s); err != nil {
		return err
	}
	other, err := d.Client(i+1, account+"-token")
	if err != nil {
		return err
	}
	v, err := other.Answer(ctx, id, Timeout)
	if err != nil {
		return err
	}
	x, err := other.Explain(ctx, id)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "\n%s ran on %v: %s, answer:\n", id, x.Targets, v.Outcome)
	for _, p := range v.Parts {
		d.Out.Write(p.Data)
	}
	x.Print(d.Out)
	if v.Outcome != jobs.Done {
		return fmt.Errorf("%w: job %s: %s %s", ErrNotDone, id, v.Outcome, v.Detail)
	}
	return nil
}

// submit submits a job again until a host accepts it or refuses it with a status of
// 4xx other than 401. A host that has no manifest yet answers 503, and one whose
// manifest doesn't hold the account yet answers 401.
func (d *Demo) submit(ctx context.Context, c *client.Client, s *jobs.Spec) error {
	for {
		_, err := c.Submit(ctx, s)
		p := client.ProblemOf(err)
		if err == nil || ctx.Err() != nil || p != nil && p.Status/100 == 4 && p.Status != 401 {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TargetCount returns the number of targets in the deployment.
func TargetCount() int { return len(dataCentres) * racksPerCentre * targetsPerRack }
