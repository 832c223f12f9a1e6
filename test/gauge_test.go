package test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// sampleInterval is the time between two readings of a process's use.
const sampleInterval = 20 * time.Millisecond

// gauge records the most memory and descriptors that a process uses.
type gauge struct {
	pid   int
	ports []uint16
	// stop ends the record.
	stop func()

	peakBytes       int64
	peakDescriptors int
}

// newGauge starts to record the use of a process that listens on addresses.
func newGauge(pid int, addresses ...netip.AddrPort) *gauge {
	g := &gauge{pid: pid}
	for _, address := range addresses {
		g.ports = append(g.ports, address.Port())
	}
	ctx, cancel := context.WithCancel(context.Background())
	sampled := make(chan struct{})
	go g.sample(ctx, sampled)
	g.stop = func() {
		cancel()
		<-sampled
	}
	return g
}

// sample records until ctx ends. Memory is what is resident and what the kernel holds for the
// process to read.
func (g *gauge) sample(ctx context.Context, sampled chan<- struct{}) {
	defer close(sampled)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		g.peakBytes = max(g.peakBytes, g.memoryLine("VmRSS:")+g.unreadBytes(), g.memoryLine("VmHWM:"))
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.pid))
		g.peakDescriptors = max(g.peakDescriptors, len(files))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// memoryLine returns a line of the process's status, in bytes.
func (g *gauge) memoryLine(name string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes that the process's connections have received and not read.
func (g *gauge) unreadBytes() int64 {
	text, _ := os.ReadFile("/proc/net/tcp")
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == "0A" { // a listener's queue holds connections
			continue
		}
		_, portText, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseUint(portText, 16, 16)
		if err != nil || !slices.Contains(g.ports, uint16(port)) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(queue, 16, 64)
		total += unread
	}
	return total
}

// check ends the record, and fails the test unless the process has stayed within its limits,
// in MiB and descriptors.
func (g *gauge) check(t *testing.T, memory, descriptors int) {
	t.Helper()
	g.stop()
	t.Logf("most memory %.1f MiB, most descriptors %d", float64(g.peakBytes)/(1<<20), g.peakDescriptors)
	if want := int64(memory) << 20; g.peakBytes > want {
		t.Errorf("most memory: got %d bytes, want at most %d", g.peakBytes, want)
	}
	if g.peakDescriptors > descriptors {
		t.Errorf("most descriptors: got %d, want at most %d", g.peakDescriptors, descriptors)
	}
}
