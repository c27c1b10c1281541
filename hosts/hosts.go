// Package hosts keeps the list of the scheduler's hosts in the table service.
package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronbridge/repo"
)

// Table has a row for each host, keyed by a hash of its name, with the address at which
// other hosts call it.
const Table = "hosts"

// Partition is the partition of all rows. It is separate from that of the pools' owners, as
// many hosts that start at once must not delay the owners' writes.
const Partition = "hosts"

// ExpireAfter is how long a host stays listed after its last announcement, AnnounceInterval
// how often it announces itself.
const (
	ExpireAfter      = time.Hour
	AnnounceInterval = 5 * time.Minute
)

// Row is a row of Table.
type Row struct {
	Name string
	// Address is an IP address and a port.
	Address string
	// Announced is when the host wrote the row, in Unix milliseconds.
	Announced int64
	// Capacity is the processing capacity that the host has for decisions, in cores, 0
	// if the host doesn't report it.
	Capacity float64 `json:",omitempty"`
}

// Page holds the rows that List returns.
type Page struct {
	Rows []Row
	// Total is the number of rows of the table, estimated if there are more than were
	// read.
	Total int
	// Malformed counts the rows that can't be decoded.
	Malformed int
}

// hostKey returns the key of a host's row. It is a hash, so that keys are spread evenly and
// the distance between a few of them shows how many there are.
func hostKey(host string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(host)) }

// hostRow returns a host's row with an encoded value.
func hostRow(host string, value []byte) repo.Row {
	return repo.Row{Table: Table, Partition: Partition, Key: hostKey(host), Value: value}
}

// Announce writes or renews a host's row.
func Announce(ctx context.Context, s repo.Store, r Row) error {
	b, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode host %s: %w", r.Name, err)
	}
	if _, err := s.Apply(ctx, repo.Change{Put: []repo.Row{hostRow(r.Name, b)}}); err != nil {
		return fmt.Errorf("announce host %s: %w", r.Name, err)
	}
	return nil
}

// Withdraw removes the row of a host that is stopping or has expired.
func Withdraw(ctx context.Context, s repo.Store, host string) error {
	if _, err := s.Apply(ctx, repo.Change{Delete: []repo.Row{hostRow(host, nil)}}); err != nil {
		return fmt.Errorf("withdraw host %s: %w", host, err)
	}
	return nil
}

// List returns the rows of up to limit hosts, in the order of their keys: from the host's
// own key on and then, after the last key, from the first one. Different hosts thus see
// different parts of a long list. Rows that can't be decoded are left out.
func List(ctx context.Context, s repo.Store, host string, limit int) (Page, error) {
	own := hostKey(host)
	p, err := s.List(ctx, Table, Partition, own, limit)
	if err != nil {
		return Page{}, fmt.Errorf("list hosts: %w", err)
	}
	rows := p.Rows
	if len(rows) < limit {
		first, err := s.List(ctx, Table, Partition, "", limit-len(rows))
		if err != nil {
			return Page{}, fmt.Errorf("list hosts: %w", err)
		}
		for _, r := range first.Rows {
			if r.Key < own {
				rows = append(rows, r)
			}
		}
	}
	h := Page{Total: len(rows)}
	if len(rows) >= limit && len(rows) > 0 {
		h.Total = estimateTotal(own, rows[len(rows)-1].Key, len(rows))
	}
	for _, r := range rows {
		var x Row
		if json.Unmarshal(r.Value, &x) != nil || x.Name == "" {
			h.Malformed++
			continue
		}
		h.Rows = append(h.Rows, x)
	}
	return h, nil
}

// estimateTotal returns the number of keys, extrapolated from the span that holds n of them.
func estimateTotal(from, to string, n int) int {
	a, errA := strconv.ParseUint(from, 16, 64)
	b, errB := strconv.ParseUint(to, 16, 64)
	span := b - a
	if errA != nil || errB != nil || span == 0 {
		return n
	}
	return max(n, int(float64(n)*math.MaxUint64/float64(span)))
}
