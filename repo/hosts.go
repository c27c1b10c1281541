package repo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// TableHosts has a row for each host, by its name: where other hosts call it.
const TableHosts = "hosts"

// HostTimeout is how long a host is listed without announcing itself again,
// HostPeriod how often it does.
const (
	HostTimeout = time.Hour
	HostPeriod  = 5 * time.Minute
)

// HostRow is a row of TableHosts.
type HostRow struct {
	// Address is an IP number and a port.
	Address string
	// Announced is when the host wrote the row, in Unix milliseconds.
	Announced int64
}

// Announce writes a host's row.
func Announce(ctx context.Context, s Store, host string, r HostRow) error {
	b, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode host %s: %w", host, err)
	}
	if _, err := s.Apply(ctx, Change{Put: []Row{newRow(TableHosts, host, b)}}); err != nil {
		return fmt.Errorf("announce host %s: %w", host, err)
	}
	return nil
}

// Withdraw removes the row of a host that leaves, or left long ago.
func Withdraw(ctx context.Context, s Store, host string) error {
	if _, err := s.Apply(ctx, Change{Delete: []Row{newRow(TableHosts, host, nil)}}); err != nil {
		return fmt.Errorf("withdraw host %s: %w", host, err)
	}
	return nil
}

// Hosts returns all rows of hosts by name. A row that can't be read has no
// address.
func Hosts(ctx context.Context, s Store) (map[string]HostRow, error) {
	p, err := All(ctx, s, TableHosts, "")
	if err != nil {
		return nil, err
	}
	m := make(map[string]HostRow, len(p.Rows))
	for _, r := range p.Rows {
		var h HostRow
		if json.Unmarshal(r.Value, &h) != nil {
			h = HostRow{}
		}
		m[r.Key] = h
	}
	return m, nil
}
