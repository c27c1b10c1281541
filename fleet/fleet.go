// Package fleet speaks with the platform's list of live and leaving hosts.
// The list lags behind the truth.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"citronbridge/fault"
	"citronbridge/httpc"
	"citronbridge/jobs"
	"citronbridge/retry"
)

const callTimeout = 2 * time.Second

// Role is what a host is for.
type Role string

// The roles of hosts.
const (
	Entry  Role = "Entry"
	Target Role = "Target"
)

// Host is one entry of the list.
type Host struct {
	ID         string
	Role       Role
	Address    string
	DataCentre string
	Rack       string `json:",omitempty"`
	// Leaving tells that the host must get no new work.
	Leaving bool `json:",omitempty"`
	// Room is what a target has.
	Room jobs.Room
}

// Check returns the faults of a decoded entry.
func (h *Host) Check() fault.List {
	var l fault.List
	l.Check(jobs.ValidName(h.ID), "ID", h.ID, jobs.NameRule)
	l.Check(h.Role == Entry || h.Role == Target, "Role", h.Role, "Entry or Target")
	l.Check(h.Address != "", "Address", h.Address, "an IP number and a port")
	l.Check(jobs.ValidName(h.DataCentre), "DataCentre", h.DataCentre, jobs.NameRule)
	return l
}

// Client reads the list.
type Client struct {
	http  *httpc.Client
	guard *retry.Guard
}

// NewClient returns a Client of the list at base.
func NewClient(base string, g *retry.Guard) *Client {
	return &Client{http: httpc.New(base), guard: g}
}

// List returns the hosts. An entry that can't be used is left out and counted
// in bad.
func (c *Client) List(ctx context.Context) (list []Host, bad int, err error) {
	var all []Host
	err = c.guard.Do(ctx, func(x context.Context) error {
		x, cancel := context.WithTimeout(x, callTimeout)
		defer cancel()
		return c.http.Do(x, http.MethodGet, "/hosts", nil, &all)
	})
	if err != nil {
		return nil, 0, fmt.Errorf("list hosts: %w", err)
	}
	for _, h := range all {
		if len(h.Check()) > 0 {
			bad++
			continue
		}
		list = append(list, h)
	}
	return list, bad, nil
}
