package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// fakeListener accepts the connections and errors that the test passes to it.
type fakeListener struct {
	arrivals chan any
	closed   chan struct{}
}

func newFakeListener() *fakeListener {
	return &fakeListener{arrivals: make(chan any, 64), closed: make(chan struct{})}
}

func (f *fakeListener) Accept() (net.Conn, error) {
	select {
	case a := <-f.arrivals:
		if err, ok := a.(error); ok {
			return nil, err
		}
		return a.(net.Conn), nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

func (f *fakeListener) Close() error   { close(f.closed); return nil }
func (f *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// accept lets a connection arrive and returns it, or nil if it is refused.
func accept(t *testing.T, l *Listener, f *fakeListener) (*Conn, net.Conn) {
	t.Helper()
	here, there := net.Pipe()
	f.arrivals <- here
	// A second arrival ends Accept if the first was refused.
	f.arrivals <- net.ErrClosed
	c, err := l.Accept()
	if err != nil {
		return nil, there
	}
	<-f.arrivals
	return c.(*Conn), there
}

// TestOrder guards against the loss of a connection in use while one that waits for its client
// could be closed, and of one that has waited for a shorter time than another.
func TestOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var reasons []string
	f := newFakeListener()
	l := Listen(f, Config{Limit: 8, Now: func() time.Time { return now }, OnClose: func(r string) { reasons = append(reasons, r) }})
	enter := func(c *Conn, states ...http.ConnState) {
		for _, s := range states {
			l.ConnState(c, s)
		}
	}
	var c []*Conn
	for range 8 {
		x, _ := accept(t, l, f)
		c = append(c, x)
		now = now.Add(time.Second)
	}
	enter(c[0], http.StateActive)
	enter(c[1], http.StateActive)
	c[1].enter(body)
	now = now.Add(time.Second)
	enter(c[2], http.StateActive)
	c[2].enter(body)
	now = now.Add(time.Second)
	enter(c[6], http.StateActive, http.StateIdle)
	now = now.Add(time.Second)
	enter(c[5], http.StateActive, http.StateIdle)
	enter(c[7], http.StateActive)
	c[7].blocked.Store(now.UnixNano())
	now = now.Add(time.Second)
	for i, want := range []struct {
		conn   int
		reason string
	}{{6, Idle}, {5, Idle}, {3, Header}, {4, Header}, {1, Body}, {2, Body}, {7, Unread}} {
		n, _ := accept(t, l, f)
		if n == nil || len(reasons) != i+1 || reasons[i] != want.reason || state(c[want.conn].state.Load()) != closed {
			t.Fatalf("arrival %d: reasons %v, want connection %d closed for %s", i, reasons, want.conn, want.reason)
		}
		if _, err := c[want.conn].Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("connection %d is open: %v", want.conn, err)
		}
		enter(n, http.StateActive)
	}
	if n, _ := accept(t, l, f); n != nil || reasons[len(reasons)-1] != Refused || l.Open() != 8 {
		t.Errorf("with all in use: accepted %v, reasons %v, %d open", n, reasons, l.Open())
	}
	l.SetLimit(9)
	if n, _ := accept(t, l, f); n == nil {
		t.Error("refused below a raised limit")
	}
	enter(c[0], http.StateClosed)
	c[0].Close()
	if l.Open() != 8 {
		t.Errorf("%d open after one was closed", l.Open())
	}
}

// TestProgress guards against a body that arrives slowly being closed before one that is stalled, and
// against an idle connection with a new request being closed before other idle ones.
func TestProgress(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := newFakeListener()
	l := Listen(f, Config{Limit: 2, Now: func() time.Time { return now }})
	for _, s := range []http.ConnState{http.StateActive, http.StateIdle} {
		a, there := accept(t, l, f)
		b, _ := accept(t, l, f)
		for _, c := range []*Conn{a, b} {
			l.ConnState(c, http.StateActive)
			if s == http.StateIdle {
				l.ConnState(c, s)
			} else {
				c.enter(body)
			}
			now = now.Add(time.Second)
		}
		go there.Write([]byte("x"))
		a.Read(make([]byte, 1))
		c, _ := accept(t, l, f)
		if state(b.state.Load()) != closed || state(a.state.Load()) == closed {
			t.Errorf("state %s: the stalled connection is %d, the other %d", s, b.state.Load(), a.state.Load())
		}
		a.Close()
		c.Close()
	}
}

// TestAcceptErrors guards against a server that ends for lack of descriptors.
func TestAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeListener()
		l := Listen(f, Config{Limit: 1})
		here, _ := net.Pipe()
		for _, e := range []error{syscall.EMFILE, syscall.ENOBUFS, os.NewSyscallError("accept4", syscall.ENOMEM)} {
			f.arrivals <- &net.OpError{Op: "accept", Err: e}
		}
		f.arrivals <- here
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(time.Second)
			l.Close()
		}()
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("after Close: %v", err)
		}
	})
}

// TestWriteTimeout guards against a response that nobody reads, and against a time limit that runs
// on from one response to the next.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeListener()
		l := Listen(f, Config{Limit: 1, WriteTimeout: 10 * time.Second})
		c, there := accept(t, l, f)
		defer there.Close()
		for range 2 {
			l.ConnState(c, http.StateActive)
			go io.ReadFull(there, make([]byte, 1))
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			l.ConnState(c, http.StateIdle)
			time.Sleep(8 * time.Second)
		}
		l.ConnState(c, http.StateActive)
		began := time.Now()
		if _, err := c.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) != 10*time.Second {
			t.Errorf("write ends after %s: %v", time.Since(began), err)
		}
		c.Close()
	})
}

// pipeServer serves connections over pipes.
func pipeServer(h http.Handler, l *Listener) *http.Server {
	s := &http.Server{Handler: Handler(h, 3*time.Second), ConnState: l.ConnState, ConnContext: l.ConnContext}
	go s.Serve(l)
	return s
}

// TestUnreadBody guards against a refusal that is delayed, and a connection that is kept open, by a
// body that nobody reads; and against both for a body that is read.
func TestUnreadBody(t *testing.T) {
	for _, c := range []struct {
		name, request string
		read          bool
		answer        time.Duration
		close         bool
	}{
		{"unread and unfinished", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", false, 0, true},
		{"unread chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", false, 0, true},
		{"read and unfinished", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", true, 3 * time.Second, true},
		{"read", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", true, 0, false},
		{"none", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeListener()
			l := Listen(f, Config{Limit: 1})
			s := pipeServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.read {
					if _, err := io.ReadAll(r.Body); err != nil {
						w.WriteHeader(http.StatusServiceUnavailable)
					}
					// Longer than the body may take.
					if c.answer == 0 {
						time.Sleep(5 * time.Second)
					}
				}
				io.WriteString(w, "answer")
			}), l)
			here, there := net.Pipe()
			f.arrivals <- here
			began := time.Now()
			go io.WriteString(there, c.request)
			b := make([]byte, 1000)
			n, err := there.Read(b)
			want := c.answer
			if c.read && want == 0 {
				want = 5 * time.Second
			}
			if err != nil || time.Since(began) != want {
				t.Errorf("%s: answer after %s, want %s: %v", c.name, time.Since(began), want, err)
			}
			if strings.Contains(string(b[:n]), "Connection: close") != c.close {
				t.Errorf("%s: answer is %s", c.name, b[:n])
			}
			time.Sleep(time.Second)
			if open := l.Open() == 1; open == c.close {
				t.Errorf("%s: connection is open: %v", c.name, open)
			}
			there.Close()
			s.Close()
		})
	}
}

// TestConcurrent lets many clients connect, send requests and stall. The limit must hold, and no
// connection may stay counted.
func TestConcurrent(t *testing.T) {
	f := newFakeListener()
	l := Listen(f, Config{Limit: 20})
	var most atomic.Int64
	s := pipeServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := int64(l.Open()); n > most.Load() {
			most.Store(n)
		}
		io.ReadAll(r.Body)
	}), l)
	var all sync.WaitGroup
	for i := range 300 {
		all.Go(func() {
			here, there := net.Pipe()
			defer there.Close()
			there.SetDeadline(time.Now().Add(5 * time.Second))
			f.arrivals <- here
			requests := []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx", "GET / HT"}
			if _, err := io.WriteString(there, requests[i%len(requests)]); err == nil && i%3 == 0 {
				there.Read(make([]byte, 1000))
			}
			time.Sleep(time.Millisecond)
		})
	}
	all.Wait()
	s.Close()
	if most.Load() > 20 || l.Open() != 0 {
		t.Errorf("%d connections were open, %d are at the end", most.Load(), l.Open())
	}
}

// TestHeaderLines guards against headers of legal size whose many short lines take much memory, and
// against the lines of a body being counted.
func TestHeaderLines(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n"
	lines := strings.Repeat("\n", 40)
	for _, c := range []struct {
		name, request string
		reason        string
	}{
		{"few lines", start + "\r\n" + lines + start + "\r\n" + lines, ""},
		{"many lines", start + strings.Repeat("a:\r\n", 18), HeaderLines},
		{"many lines without CR", start + strings.Repeat("a:\n", 18), HeaderLines},
		{"many lines in the second request", start + "\r\n" + lines + start + strings.Repeat("a:\r\n", 18), HeaderLines},
	} {
		synctest.Test(t, func(t *testing.T) {
			reason := ""
			f := newFakeListener()
			l := Listen(f, Config{Limit: 1, MaxHeaderLines: 20, OnClose: func(r string) { reason = r }})
			s := pipeServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { io.ReadAll(r.Body) }), l)
			here, there := net.Pipe()
			f.arrivals <- here
			go io.Copy(io.Discard, there)
			for i := range len(c.request) {
				if _, err := io.WriteString(there, c.request[i:i+1]); err != nil {
					break
				}
				synctest.Wait()
			}
			if reason != c.reason {
				t.Errorf("%s: closed for %q, want %q", c.name, reason, c.reason)
			}
			there.Close()
			s.Close()
		})
	}
}

// TestHeaderLinesInCalm guards against a client that is cut off for a legal header of many lines
// although few connections are open.
func TestHeaderLinesInCalm(t *testing.T) {
	for _, c := range []struct {
		open    int
		allowed bool
	}{{1, true}, {2, true}, {3, false}} {
		l := &Listener{c: Config{MaxHeaderLines: 2, HeaderLinesFrom: 2, Now: time.Now, OnClose: func(string) {}}, conns: map[*Conn]struct{}{}}
		for range c.open - 1 {
			l.conns[&Conn{listener: l}] = struct{}{}
		}
		ours, theirs := net.Pipe()
		k := &Conn{Conn: ours, listener: l}
		l.conns[k] = struct{}{}
		go theirs.Write([]byte("GET / HTTP/1.1\r\nA: 1\r\nB: 2\r\nC: 3\r\n"))
		_, err := k.Read(make([]byte, 1024))
		if (err == nil) != c.allowed {
			t.Errorf("%d connections open: error %v, want the header allowed: %v", c.open, err, c.allowed)
		}
		ours.Close()
		theirs.Close()
	}
}
