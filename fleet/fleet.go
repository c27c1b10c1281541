// Package fleet reads the platform's list of hosts, which names the live and the leaving ones. The
// list lags behind: it may name hosts that have failed and miss hosts that have started.
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

// callTimeout bounds one read of the list.
const callTimeout = 2 * time.Second

// Role is the purpose of a host.
type Role string

// The roles of hosts. Entry hosts serve the API and decide for cells; targets run tasks.
const (
	Entry  Role = "Entry"
	Target Role = "Target"
)

// Host is an entry of the list.
type Host struct {
	ID         string
	Role       Role
	Address    string
	DataCentre string
	Rack       string `json:",omitempty"`
	// Leaving is true if the host must get no new work.
	Leaving bool `json:",omitempty"`
	// Room is the total capacity of a target.
	Room jobs.Room
}

// Check returns the invalid fields of a decoded entry.
func (h *Host) Check() fault.List {
	var l fault.List
	l.Check(jobs.ValidName(h.ID), "ID", h.ID, jobs.NameRule)
	l.Check(h.Role == Entry || h.Role == Target, "Role", h.Role, "Entry or Target")
	l.Check(h.Address != "", "Address", h.Address, "an IP number and a port")
	l.Check(jobs.ValidName(h.DataCentre), "DataCentre", h.DataCentre, jobs.NameRule)
	return l
}

// Client reads the list of hosts.
type Client struct {
	http  *httpc.Client
	guard *retry.Guard
}

// NewClient returns a Client of the list at the URL base.
func NewClient(base string, g *retry.Guard) *Client {
	return &Client{http: httpc.New(base), guard: g}
}

// List returns the hosts with valid entries, and the number of the other entries in malformed.
func (c *Client) List(ctx context.Context) (list []Host, malformed int, err error) {
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
			malformed++
			continue
		}
		list = append(list, h)
	}
	return list, malformed, nil
}
