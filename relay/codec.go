package relay

import (
	"errors"
	"fmt"
	"time"

	"citronbridge/repo"
	"citronbridge/wire"
)

func encodeChange(c repo.Change) *wire.StoreCall {
	w := &wire.StoreChange{Puts: encodeRows(c.Put), Deletes: encodeRows(c.Delete)}
	for _, i := range c.If {
		w.Conditions = append(w.Conditions, &wire.StoreRow{Table: i.Table, Part: i.Partition, Key: i.Key, Version: i.Version})
	}
	return &wire.StoreCall{Body: &wire.StoreCall_Apply{Apply: w}}
}

func decodeChange(w *wire.StoreChange) repo.Change {
	c := repo.Change{Put: decodeRows(w.Puts), Delete: decodeRows(w.Deletes)}
	for _, r := range w.Conditions {
		c.If = append(c.If, repo.Condition{Table: r.Table, Partition: r.Part, Key: r.Key, Version: r.Version})
	}
	return c
}

func encodeRows(l []repo.Row) []*wire.StoreRow {
	w := make([]*wire.StoreRow, 0, len(l))
	for _, r := range l {
		w = append(w, &wire.StoreRow{Table: r.Table, Part: r.Partition, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return w
}

func decodeRows(w []*wire.StoreRow) []repo.Row {
	l := make([]repo.Row, 0, len(w))
	for _, r := range w {
		l = append(l, repo.Row{Table: r.Table, Partition: r.Part, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return l
}

// decodePage converts the answer to a List or Feed call.
func decodePage(a *wire.StoreAnswer, err error) (repo.Page, error) {
	if err != nil {
		return repo.Page{}, fmt.Errorf("read table service: %w", err)
	}
	return repo.Page{Rows: decodeRows(a.Rows), More: a.More, Version: a.Version, Now: storeClock(a)}, nil
}

// storeClock returns the reading of the store's clock in an answer, 0 if it has none.
func storeClock(a *wire.StoreAnswer) time.Duration {
	return time.Duration(a.NowMilliseconds) * time.Millisecond
}

// answerError returns the error that an answer reports, nil for a call that was done.
func answerError(a *wire.StoreAnswer) error {
	switch a.Outcome {
	case wire.StoreAnswer_DONE:
		return nil
	case wire.StoreAnswer_HISTORY_GONE:
		return fmt.Errorf("%w: %s", repo.ErrHistoryGone, a.Cause)
	case wire.StoreAnswer_NOT_DONE:
		return fmt.Errorf("%w: %s", repo.ErrNotDone, a.Cause)
	}
	return errors.New(a.Cause)
}
