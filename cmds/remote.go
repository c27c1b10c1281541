package cmds

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"gopkg.in/yaml.v3"

	"citronbridge/admin"
	"citronbridge/client"
	"citronbridge/entry"
	"citronbridge/fault"
	"citronbridge/jobs"
)

// withClient calls f with a client of the hosts given by --host.
func (a *app) withClient(f func(ctx context.Context, c *client.Client) error) error {
	c, err := a.newClient()
	if err != nil {
		return err
	}
	return f(context.Background(), c)
}

// readSpec reads and checks a job request from a JSON or YAML file.
func readSpec(file string) (*jobs.Spec, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	var v any
	if err := yaml.Unmarshal(b, &v); err != nil {
		return nil, fault.List{{File: file, Line: 1, Field: "document", Value: err.Error(), Allowed: "well-formed JSON or YAML"}}
	}
	if b, err = json.Marshal(v); err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	s := &jobs.Spec{}
	return s, fault.DecodeJSON(bytes.NewReader(b), s)
}

func (a *app) runSubmit() error {
	s, err := readSpec(a.file)
	if err != nil {
		return inputError(err)
	}
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		v, err := c.Submit(ctx, s)
		if err != nil {
			return err
		}
		return a.printStatus(v)
	})
}

func (a *app) printStatus(v entry.Status) error {
	return a.printResult(v, func(w io.Writer) {
		fmt.Fprintf(w, "%s/%s: %s %s in cell %s %s\n", v.Account, v.ID, v.State, v.Outcome, v.Cell, v.Detail)
	})
}

func (a *app) runStatus() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		v, err := c.Status(ctx, a.id)
		if err != nil {
			return err
		}
		return a.printStatus(v)
	})
}

func (a *app) runCancel() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		v, err := c.Cancel(ctx, a.id)
		if err != nil {
			return err
		}
		return a.printStatus(v)
	})
}

func (a *app) runAnswer() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		v, err := c.Answer(ctx, a.id, a.wait)
		if err != nil {
			return err
		}
		if err := a.printResult(v, func(w io.Writer) { printAnswer(w, &v) }); err != nil {
			return err
		}
		if v.Outcome != jobs.Done {
			return &exitError{ExitNotDone, fmt.Errorf("job %s: %s %s %s", v.ID, v.State, v.Outcome, v.Detail)}
		}
		return nil
	})
}

func printAnswer(w io.Writer, v *entry.Answer) {
	for _, p := range v.Parts {
		w.Write(p.Data)
	}
}

func (a *app) runExplain() error {
	if len(a.logs) > 0 {
		return a.explainLogs()
	}
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		v, err := c.Explain(ctx, a.id)
		if err != nil {
			return err
		}
		return a.printResult(v, func(w io.Writer) { v.Print(w) })
	})
}

// printTable aligns the tab-separated cells that rows writes in columns.
func printTable(w io.Writer, rows func(t io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows(t)
	t.Flush()
}

func (a *app) runJobs() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		var all []entry.Status
		for after := ""; ; {
			p, err := c.List(ctx, after, 1000)
			if err != nil {
				return err
			}
			all = append(all, p.Jobs...)
			if after = p.After; after == "" {
				break
			}
		}
		return a.printResult(all, func(w io.Writer) {
			printTable(w, func(t io.Writer) {
				fmt.Fprintln(t, "ID\tState\tOutcome\tCell\tAccepted")
				for _, j := range all {
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", j.ID, j.State, j.Outcome, j.Cell, j.Accepted.Format(time.RFC3339))
				}
			})
		})
	})
}

func (a *app) runHosts() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		l, err := c.Hosts(ctx)
		if err != nil {
			return err
		}
		return a.printResult(l, func(w io.Writer) {
			printTable(w, func(t io.Writer) {
				fmt.Fprintln(t, "Host\tData centre\tAddress\tRevision\tLeaving\tCells")
				for _, h := range l {
					fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%t\t%v\n", h.ID, h.DataCentre, h.Address, h.Revision, h.Leaving, h.Cells)
				}
			})
		})
	})
}

func (a *app) runTargets() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		l, err := c.Targets(ctx)
		if err != nil {
			return err
		}
		return a.printResult(l, func(w io.Writer) {
			printTable(w, func(t io.Writer) {
				fmt.Fprintln(t, "Target\tCell\tRack\tState\tAccelerators free\tGuarantees\tJobs")
				for _, x := range l {
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d/%d\t%v\t%v\n", x.ID, x.Cell, x.Rack, x.State, x.Free.Accelerators, x.Room.Accelerators, x.Guarantees, x.Jobs)
				}
			})
		})
	})
}

func (a *app) runAccounts() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		l, err := c.Accounts(ctx)
		if err != nil {
			return err
		}
		return a.printResult(l, func(w io.Writer) {
			printTable(w, func(t io.Writer) {
				fmt.Fprintln(t, "Account\tCell\tGuaranteed\tUsed\tBorrowed\tLent\tWaiting\tPlaced\tUnbacked")
				for _, x := range l {
					fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\n", x.Account, x.Cell, x.Guaranteed, x.Used, x.Borrowed, x.Lent, x.Waiting, x.Placed, x.Unbacked)
				}
			})
		})
	})
}

func (a *app) runDrain() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error { return c.Drain(ctx) })
}

func (a *app) runPropose() error {
	m, err := loadManifest(a.file)
	if err != nil {
		return inputError(err)
	}
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		base := int64(a.base)
		if base < 0 {
			if base, err = currentRevision(ctx, c); err != nil {
				return err
			}
		}
		if a.proposalID == "" {
			b, err := json.Marshal(m)
			if err != nil {
				return fmt.Errorf("encode manifest: %w", err)
			}
			h := sha256.Sum256(fmt.Appendf(b, "%d", base))
			a.proposalID = hex.EncodeToString(h[:16])
		}
		v, err := c.Propose(ctx, &admin.Proposal{ID: a.proposalID, Base: base, Manifest: *m})
		if err != nil {
			return err
		}
		return a.printResult(v, func(w io.Writer) { fmt.Fprintf(w, "accepted as revision %d\n", v.Number) })
	})
}

// currentRevision returns the number of the manifest's revision in force, or 0 if
// there is none yet.
func currentRevision(ctx context.Context, c *client.Client) (int64, error) {
	v, err := c.Manifest(ctx)
	if p := client.ProblemOf(err); p != nil && p.Status == 404 {
		return 0, nil
	}
	return v.Number, err
}

func (a *app) runShow() error {
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		v, err := c.Manifest(ctx)
		if err != nil {
			return err
		}
		return a.printResult(v, func(w io.Writer) {
			fmt.Fprintf(w, "# revision %d, proposal %s\n", v.Number, v.Proposal)
			if err := yaml.NewEncoder(w).Encode(v.Manifest); err != nil {
				fmt.Fprintln(a.errOut, err)
			}
		})
	})
}

func (a *app) runHistory() error {
	if a.after < 0 {
		return &exitError{ExitInvalid, errors.New("--after must be the number of a revision, 0 or more")}
	}
	return a.withClient(func(ctx context.Context, c *client.Client) error {
		l, err := c.History(ctx, int64(a.after))
		if err != nil {
			return err
		}
		return a.printResult(l, func(w io.Writer) {
			for _, v := range l {
				fmt.Fprintf(w, "revision %d, proposal %s, %d accounts\n", v.Number, v.Proposal, len(v.Manifest.Accounts))
			}
		})
	})
}
