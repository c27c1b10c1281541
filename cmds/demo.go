package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/rs/zerolog"

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

// The shape of the demo's deployment.
const (
	demoOperator  = "operator-token"
	demoLimit     = 50 * time.Second
	demoRacks     = 2
	demoPerRack   = 3
	demoWritesSec = 400
	demoReadsSec  = 2000
)

var (
	demoCentres = []string{"cmb-1", "cmb-2"}
	demoHosts   = []string{"cmb-1", "cmb-2", "cmb-1"}
	demoRoom    = jobs.Room{Accelerators: 8, Processors: 64, Memory: 256 << 30, Slots: 8}
)

// demo is a deployment in this process.
type demo struct {
	a *app
	platform
	hosts []*host.Host
}

// platform is the stand-ins of the demo.
type platform struct {
	table, objects, list *fakes.Server
	entries              *fakes.Hosts
}

// demoManifest returns the rules of the demo.
func demoManifest() rules.Manifest {
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

// runDemo runs two gangs on a whole deployment.
func (a *app) runDemo() error {
	d := &demo{a: a}
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	if err := d.start(ctx); err != nil {
		return &exitError{ExitFailed, err}
	}
	defer d.stop()
	if err := d.play(ctx); err != nil {
		return err
	}
	if a.keep {
		fmt.Fprintln(a.out, "The deployment stays up until interrupted.")
		s := make(chan os.Signal, 1)
		signal.Notify(s, os.Interrupt)
		<-s
	}
	return nil
}

// start brings up the stand-ins and the hosts.
func (d *demo) start(ctx context.Context) error {
	if err := d.startPlatform(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.a.out, "table service %s, object store %s, host list %s\n", d.table.URL(), d.objects.URL(), d.list.URL())
	log := zerolog.New(d.a.err).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	for i, dc := range demoHosts {
		s := config.Defaults()
		s.Host, s.DataCentre = fmt.Sprintf("host-%d", i+1), dc
		s.HTTPAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
		s.Platform = config.Platform{Table: d.table.URL(), Objects: d.objects.URL(), Hosts: d.list.URL()}
		s.OperatorTokenHash = entry.HashToken(demoOperator)
		s.Bounds.DrainGrace = units.Duration(10 * time.Millisecond)
		h, err := host.New(&s, log)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
		d.entries.Set(fleet.Host{ID: s.Host, Role: fleet.Entry, Address: h.PeerAddress(), DataCentre: dc})
		go h.Run(context.Background())
		fmt.Fprintf(d.a.out, "%s in %s: callers %s, hosts %s\n", s.Host, dc, h.HTTPAddress(), h.PeerAddress())
	}
	return nil
}

// startPlatform brings up the stand-ins, with two racks of targets in each
// data centre.
func (d *demo) startPlatform(ctx context.Context) error {
	var err error
	if d.table, err = fakes.Listen("127.0.0.1:0", fakes.NewTable(demoWritesSec, demoReadsSec).Handler()); err != nil {
		return err
	}
	if d.objects, err = fakes.Listen("127.0.0.1:0", fakes.NewObjects().Handler()); err != nil {
		return err
	}
	d.entries = fakes.NewHosts(0)
	if d.list, err = fakes.Listen("127.0.0.1:0", d.entries.Handler()); err != nil {
		return err
	}
	for _, dc := range demoCentres {
		for i := range demoRacks * demoPerRack {
			h := fleet.Host{ID: fmt.Sprintf("%s-target-%d", dc, i+1), Role: fleet.Target, DataCentre: dc, Rack: fmt.Sprintf("%s-rack-%d", dc, i/demoPerRack+1), Room: demoRoom}
			t := fakes.NewTarget(h.ID, h.Room, d.objects.URL())
			go t.Expire(ctx)
			s, err := fakes.Listen("127.0.0.1:0", t.Handler())
			if err != nil {
				return err
			}
			h.Address = s.Address
			d.entries.Set(h)
		}
	}
	return nil
}

// stop ends the hosts in good order.
func (d *demo) stop() {
	for _, h := range d.hosts {
		h.Drain()
	}
	for _, h := range d.hosts {
		<-h.Stopped()
	}
}

// client returns a client that starts with the host of that number.
func (d *demo) client(first int, token string) (*client.Client, error) {
	var l []string
	for i := range d.hosts {
		l = append(l, d.hosts[(first+i)%len(d.hosts)].HTTPAddress())
	}
	return client.New(l, token, nil)
}

// play proposes the manifest and runs a gang of each account.
func (d *demo) play(ctx context.Context) error {
	o, err := d.client(0, demoOperator)
	if err != nil {
		return err
	}
	m := demoManifest()
	if err := d.propose(ctx, o, &m); err != nil {
		return err
	}
	for i, a := range m.Accounts {
		if err := d.gang(ctx, i, a.Name); err != nil {
			return fmt.Errorf("gang of %s: %w", a.Name, err)
		}
	}
	return nil
}

// propose proposes the manifest until the hosts know their targets.
func (d *demo) propose(ctx context.Context, o *client.Client, m *rules.Manifest) error {
	for {
		v, err := o.Propose(ctx, &entry.Proposal{ID: "demo", Manifest: *m})
		if err == nil {
			fmt.Fprintf(d.a.out, "manifest accepted as revision %d\n", v.Number)
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// gang submits a gang at one host, and asks another for the answer.
func (d *demo) gang(ctx context.Context, i int, account string) error {
	c, err := d.client(i, account+"-token")
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
	other, err := d.client(i+1, account+"-token")
	if err != nil {
		return err
	}
	v, err := other.Answer(ctx, id, demoLimit)
	if err != nil {
		return err
	}
	x, err := other.Explain(ctx, id)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.a.out, "\n%s ran on %v: %s, answer:\n", id, x.Targets, v.Outcome)
	printAnswer(d.a.out, &v)
	printExplanation(d.a.out, &x)
	if v.Outcome != jobs.Done {
		return &exitError{ExitNotDone, fmt.Errorf("job %s: %s %s", id, v.Outcome, v.Detail)}
	}
	return nil
}

// submit sends a request until a host has the manifest.
func (d *demo) submit(ctx context.Context, c *client.Client, s *jobs.Spec) error {
	for {
		_, err := c.Submit(ctx, s)
		p := client.ProblemOf(err)
		if err == nil || ctx.Err() != nil || p != nil && p.Status/100 == 4 && p.Status != 401 {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
