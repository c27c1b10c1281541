//go:build flood

package flood

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"citronbridge/binary"
)

// The limits in the settings of each process under test.
const (
	memoryMiB      = 128
	maxDescriptors = 1024
)

const (
	// startTimeout bounds the wait for a process under test to be ready. It only ends tests
	// that hang.
	startTimeout = 60 * time.Second
	// retryTime is how long an ordinary request is repeated, as ordinary clients repeat requests
	// that were refused, and requestTimeout how long one try may take.
	retryTime      = time.Minute
	requestTimeout = 5 * time.Second
	retryPause     = 200 * time.Millisecond
	// settleTime is how long the process goes on after the ordinary request before its memory is
	// read. The writes of the clients end in the kernel's buffers, so the process may not have read them.
	settleTime = 2 * time.Second
	// sampleInterval is how often the open descriptors are counted.
	sampleInterval = 20 * time.Millisecond
)

// binaryDir holds the program under test, which TestMain builds.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(binary.Run(m, &binaryDir, false, "citronbridge")) }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// process is a host process under test.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	logFile string
	// descriptors is the largest number of open descriptors that was observed.
	descriptors atomic.Int64
}

// startProcess starts the program, and kills it when the test ends.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(binaryDir, "citronbridge"), args...), exited: make(chan struct{}), logFile: filepath.Join(t.TempDir(), "log")}
	f, err := os.Create(p.logFile)
	must(t, err)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	must(t, p.cmd.Start())
	f.Close()
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	go p.sampleDescriptors()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			p.dumpLog()
		}
	})
	return p
}

// sampleDescriptors counts the open descriptors until the process exits.
func (p *process) sampleDescriptors() {
	for p.alive() {
		l, err := os.ReadDir(p.path("fd"))
		if err == nil && int64(len(l)) > p.descriptors.Load() {
			p.descriptors.Store(int64(len(l)))
		}
		time.Sleep(sampleInterval)
	}
}

func (p *process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakKiB returns the peak resident memory of the process.
func (p *process) peakKiB() (int64, error) {
	b, err := os.ReadFile(p.path("status"))
	if err != nil {
		return 0, err
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			return strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 10, 64)
		}
	}
	return 0, fmt.Errorf("no VmHWM in %s", p.path("status"))
}

// maxLogTail is how many bytes of a log a failed test prints, as a panic prints every goroutine.
const maxLogTail = 2 << 10

func (p *process) dumpLog() {
	b, err := os.ReadFile(p.logFile)
	if err != nil {
		p.t.Logf("read log: %v", err)
		return
	}
	p.t.Logf("end of the process's log:\n%s", b[max(0, len(b)-maxLogTail):])
}

// await polls f until it returns true, and fails the test after startTimeout.
func (p *process) await(event string, f func() bool) {
	p.t.Helper()
	for end := time.Now().Add(startTimeout); !f(); time.Sleep(sampleInterval) {
		if !p.alive() || time.Now().After(end) {
			p.t.Fatalf("%s: not observed", event)
		}
	}
}

// check sends an ordinary request, and checks that it is answered and that the process is alive
// and has kept its limits.
func (p *process) check(ordinary func() (int, string)) {
	p.t.Helper()
	status, body := 0, ""
	end := time.Now().Add(retryTime)
	for p.alive() && time.Now().Before(end) {
		if status, body = ordinary(); status/100 == 2 {
			break
		}
		time.Sleep(retryPause)
	}
	if status/100 != 2 {
		p.t.Errorf("an ordinary request was not answered within %s: status %d, %.200s", retryTime, status, body)
	}
	time.Sleep(settleTime)
	if !p.alive() {
		p.t.Errorf("the process has exited: %s", p.cmd.ProcessState)
		return
	}
	peak, err := p.peakKiB()
	must(p.t, err)
	p.t.Logf("VmHWM %d MiB, %d descriptors", peak>>10, p.descriptors.Load())
	if peak > memoryMiB<<10 {
		p.t.Errorf("peak resident memory is %d MiB, want at most %d", peak>>10, memoryMiB)
	}
	if n := p.descriptors.Load(); n > maxDescriptors {
		p.t.Errorf("%d descriptors were open, want at most %d", n, maxDescriptors)
	}
}

// call sends a request over a new connection of c, and returns the status and the body of the
// response. Without a response the status is 0 and the body is the error.
func call(c *http.Client, method, url, host string, header http.Header, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	q.Host, q.Header, q.Close = host, header, true
	r, err := c.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(b)
}
