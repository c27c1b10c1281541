// Package main runs fakes of the platform's services as separate processes: fakesd
// platform runs table service, object store and host list, fakesd target runs one
// target. The address of each service is printed as a line of JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"citronbridge/fakes"
	"citronbridge/fleet"
	"citronbridge/jobs"
)

// Listening is the line that reports the address of a service.
type Listening struct {
	Name    string
	Address string
}

// options are the command line's options of both subcommands.
type options struct {
	table, objects, hosts, address string
	id, dataCentre, rack, log      string
	lag                            time.Duration
	writes, reads, accelerators    int
	processors                     int
}

func main() {
	o := options{
		table: "127.0.0.1:0", objects: "127.0.0.1:0", hosts: "127.0.0.1:0", address: "127.0.0.1:0",
		lag: time.Second, writes: 400, reads: 2000, accelerators: 8, processors: 64,
	}
	p := flaggy.NewSubcommand("platform")
	p.String(&o.table, "", "table", "Address of the table service.")
	p.String(&o.objects, "", "objects", "Address of the object store.")
	p.String(&o.hosts, "", "hosts", "Address of the host list.")
	p.Duration(&o.lag, "", "lag", "Delay after which the host list shows a change.")
	p.Int(&o.writes, "", "writes", "Writes per second that the table service allows.")
	p.Int(&o.reads, "", "reads", "Reads per second that the table service allows.")
	t := flaggy.NewSubcommand("target")
	t.String(&o.address, "", "address", "Address of the target.")
	t.String(&o.id, "", "id", "Name of the target.")
	t.String(&o.dataCentre, "", "centre", "Data centre of the target.")
	t.String(&o.rack, "", "rack", "Rack of the target.")
	t.String(&o.objects, "", "objects", "URL of the object store.")
	t.String(&o.log, "", "log", "File to append events of tasks to, one JSON object per line.")
	t.Int(&o.accelerators, "", "accelerators", "Accelerators of the target.")
	t.Int(&o.processors, "", "processors", "Processors of the target.")
	flaggy.AttachSubcommand(p, 1)
	flaggy.AttachSubcommand(t, 1)
	flaggy.Parse()
	var err error
	switch {
	case p.Used:
		err = o.platform()
	case t.Used:
		err = o.target()
	default:
		err = fmt.Errorf("missing subcommand: platform or target")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fakesd:", err)
		os.Exit(1)
	}
	select {}
}

// listen starts a server for h and prints its address.
func listen(name, address string, h http.Handler) error {
	s, err := fakes.Listen(address, h)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(Listening{name, s.Address})
}

// platform starts the table service, the object store and the host list.
func (o *options) platform() error {
	if err := listen("Table", o.table, fakes.NewTable(o.writes, o.reads).Handler()); err != nil {
		return err
	}
	if err := listen("Objects", o.objects, fakes.NewObjects().Handler()); err != nil {
		return err
	}
	return listen("Hosts", o.hosts, fakes.NewHosts(o.lag).Handler())
}

// target starts a target.
func (o *options) target() error {
	h := fleet.Host{ID: o.id, Role: fleet.Target, Address: o.address, DataCentre: o.dataCentre, Rack: o.rack}
	h.Room = jobs.Room{Accelerators: o.accelerators, Processors: o.processors, Memory: 256 << 30, Slots: 8}
	if err := h.Check().Err(); err != nil {
		return err
	}
	t := fakes.NewTarget(h.ID, h.Room, o.objects)
	if o.log != "" {
		f, err := os.OpenFile(o.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		t.SetLog(f)
	}
	go t.Expire(context.Background())
	return listen("Target", o.address, t.Handler())
}
