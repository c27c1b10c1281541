package repo

import (
	"context"
	"errors"
	"fmt"
	"testing"
)

// pagedStore answers the n-th List with the n-th of its pages, or with an error if there is
// none.
type pagedStore struct {
	Store
	pages []Page
	from  []string
}

func (s *pagedStore) List(_ context.Context, _, _, from string, _ int) (Page, error) {
	n := len(s.from)
	s.from = append(s.from, from)
	if n >= len(s.pages) {
		return Page{}, errAnswerLost
	}
	return s.pages[n], nil
}

// TestListAllReadsAllPages joins the pages of a list of more rows than one answer holds.
func TestListAllReadsAllPages(t *testing.T) {
	s := newMemoryStore()
	const n = 2*maxPageRows + 1
	for i := range n {
		k := fmt.Sprintf("%016x", i)
		s.apply(Change{Put: []Row{{Table: "t", Partition: "p", Key: k}}})
	}
	p, err := ListAll(t.Context(), s, "t", "p")
	if err != nil || len(p.Rows) != n || p.More {
		t.Errorf("%d rows of %d, more: %v, error %v", len(p.Rows), n, p.More, err)
	}
}

// TestIncompleteListIsAnError guards against a list that passes for complete though the store
// hasn't answered all of it: rows that are missing from a list count as deleted.
func TestIncompleteListIsAnError(t *testing.T) {
	first := Page{Rows: []Row{{Key: "a"}}, More: true, Version: 7}
	for _, x := range []struct {
		name  string
		pages []Page
		want  error
	}{
		{"no answer to the second page", []Page{first}, errAnswerLost},
		{"no rows on a page that isn't the last", []Page{first, {More: true}}, errEmptyPage},
	} {
		s := &pagedStore{pages: x.pages}
		if p, err := ListAll(t.Context(), s, "t", "p"); !errors.Is(err, x.want) || len(p.Rows) > 0 {
			t.Errorf("%s: %d rows, error %v", x.name, len(p.Rows), err)
		}
	}
	s := &pagedStore{pages: []Page{first, {Rows: []Row{{Key: "b"}}, Version: 9}}}
	p, err := ListAll(t.Context(), s, "t", "p")
	if err != nil || len(p.Rows) != 2 || p.Version != 7 || s.from[1] != "a\x00" {
		t.Errorf("%+v from %q, error %v", p, s.from, err)
	}
}
