//go:build review

// Package harness starts nodes as processes beside a stand-in platform, and records what is
// sent, answered and run.
//
// # Usage
//
//	h, err := harness.Start(harness.Config{Dir: dir, Nodes: 3, Record: record, Platform: platform})
//	defer h.Stop()
//	h.Logf("job submitted")
package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/lovagedyke/lovagedyke/platform/standin"
)

// Exit codes of cases.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// startTimeout bounds the time until all nodes are ready.
const startTimeout = 20 * time.Second

// Config holds the arguments of Start.
type Config struct {
	// Dir is an empty folder for settings and logs.
	Dir string
	// Program is the path of the program under test.
	Program string
	// Nodes is the number of nodes.
	Nodes    int
	Platform *standin.Platform
	// Record receives the record of the run.
	Record io.Writer
}

// Harness runs nodes.
type Harness struct {
	config  Config
	started time.Time
	nodes   []*node

	mu sync.Mutex
}

// node is one process of the program under test.
type node struct {
	callers, ready, metrics netip.AddrPort
	process                 *exec.Cmd
}

// Start starts the nodes, and waits until all are ready.
func Start(config Config) (*Harness, error) {
	h := &Harness{config: config, started: time.Now()}
	for n := range config.Nodes {
		if err := h.startNode(n + 1); err != nil {
			h.Stop()
			return nil, err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, node := range h.nodes {
		for !isReady(node.ready) {
			if time.Now().After(deadline) {
				h.Stop()
				return nil, fmt.Errorf("node at %s is not ready after %s", node.ready, startTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return h, nil
}

// startNode starts node n with free ports.
func (h *Harness) startNode(n int) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("node-%d", n)
	settings := filepath.Join(h.config.Dir, name+".json")
	if err := os.WriteFile(settings, h.config.Platform.Settings(name, ports[0], ports[1], ports[2]), 0o600); err != nil {
		return err
	}
	started := &node{callers: ports[0], ready: ports[1], metrics: ports[3]}
	if err := h.launch(n, started); err != nil {
		return err
	}
	h.nodes = append(h.nodes, started)
	h.Logf("%s started", name)
	return nil
}

// launch starts the process of node n.
func (h *Harness) launch(n int, of *node) error {
	name := filepath.Join(h.config.Dir, fmt.Sprintf("node-%d", n))
	log, err := os.OpenFile(name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(h.config.Program, "node", "-metrics-port", fmt.Sprint(of.metrics.Port()))
	process.Env = append(os.Environ(), "LOVAGEDYKE_CONFIG="+name+".json")
	process.Stdout, process.Stderr = log, log
	of.process = process
	return process.Start()
}

// firstPort and portCount bound the ports of nodes: outgoing connections take none of these.
const firstPort, portCount = 10000, 20000

// freePorts returns loopback addresses that are free now.
func freePorts(count int) ([]netip.AddrPort, error) {
	var ports []netip.AddrPort
	for range 100 * count {
		if len(ports) == count {
			return ports, nil
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, address)
	}
	return nil, fmt.Errorf("no free ports")
}

// isReady reports whether a node accepts callers.
func isReady(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/lovagedyke/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Kill kills the process of node n, counted from 1, and starts it again after a pause.
func (h *Harness) Kill(n int, pause time.Duration) error {
	killed := h.nodes[n-1]
	_ = killed.process.Process.Kill()
	_ = killed.process.Wait()
	h.Logf("node-%d killed", n)
	time.Sleep(pause)
	if err := h.launch(n, killed); err != nil {
		return err
	}
	h.Logf("node-%d started again", n)
	return nil
}

// Callers returns the address of node n, counted from 1, for callers.
func (h *Harness) Callers(n int) netip.AddrPort {
	return h.nodes[n-1].callers
}

// Logf adds a line to the record.
func (h *Harness) Logf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(h.config.Record, "%8.3f s  %s\n", time.Since(h.started).Seconds(), fmt.Sprintf(format, args...))
}

// Elapsed returns the time since the start.
func (h *Harness) Elapsed() time.Duration {
	return time.Since(h.started)
}

// Stop ends all nodes.
func (h *Harness) Stop() {
	for _, node := range h.nodes {
		_ = node.process.Process.Kill()
		_ = node.process.Wait()
	}
}

// RunCase runs a case with a record in path, in a temporary folder, and returns its exit code.
func RunCase(path string, run func(dir string, record io.Writer) (int, error)) int {
	record, err := os.Create(path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	code, err := run(dir, record)
	if err != nil {
		_, _ = fmt.Fprintln(record, "not run:", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	return code
}
