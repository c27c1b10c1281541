package target

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// FuzzReport decodes arbitrary answers of a target. Malformed tasks must be left out of the report.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"Incarnation":"i","Epoch":1,"Sequence":2,"Tasks":[{"ID":{"Job":{"Account":"a","ID":"j"},"Attempt":{"Epoch":1,"Number":1},"Member":0},"State":"Active","Targets":["t"]}]}`))
	f.Add([]byte(`{"Tasks":[{"ID":{"Job":{"Account":"a","ID":"j"},"Member":7},"State":"Active","Targets":["t"]},{"State":"Dancing"}]}`))
	f.Add([]byte(`{"Tasks":{}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(b) }))
		defer s.Close()
		r, err := NewClient(s.URL, time.Second).Fence(t.Context(), 1)
		if err != nil {
			return
		}
		for i := range r.Tasks {
			if k := &r.Tasks[i]; len(k.Check()) > 0 || k.ID.Member >= len(k.Targets) {
				t.Errorf("report has a malformed task: %+v", k)
			}
		}
	})
}
