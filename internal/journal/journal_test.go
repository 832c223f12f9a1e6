package journal_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/journal"
)

// logLines returns what a journal writes for the lines that write logs.
func logLines(t *testing.T, write func(j *journal.Journal)) string {
	t.Helper()
	var out bytes.Buffer
	j := journal.New(journal.Config{Writer: &out, Fields: []any{"process", "p1"}})
	write(j)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	j.Run(ctx)
	return out.String()
}

func TestLines(t *testing.T) {
	got := logLines(t, func(j *journal.Journal) { j.Info("job taken", "job", "x") })
	for _, want := range []string{`"msg":"job taken"`, `"process":"p1"`, `"job":"x"`} {
		if !strings.Contains(got, want) {
			t.Errorf("line: got %q, want %s in it", got, want)
		}
	}
}

func TestRateLimitPerEvent(t *testing.T) {
	got := logLines(t, func(j *journal.Journal) {
		for range 3000 {
			j.Info("run start")
		}
		j.Info("leadership won")
	})
	if n := strings.Count(got, `"run start"`); n >= 3000 {
		t.Errorf("lines of one event: got %d, want fewer than were logged", n)
	}
	if !strings.Contains(got, `"leadership won"`) {
		t.Error("line of another event: got none, want one")
	}
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestLoggingNeverBlocks(t *testing.T) {
	pipe := blockedWriter{make(chan struct{})}
	j := journal.New(journal.Config{Writer: pipe})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		j.Run(ctx)
		close(ended)
	}()
	logged := make(chan struct{})
	go func() {
		for n := range 20_000 {
			j.Info("event " + string(rune('a'+n%26)))
		}
		close(logged)
	}()
	select {
	case <-logged:
	case <-time.After(20 * time.Second):
		t.Error("logging to a blocked writer: got blocked, want done")
	}
	cancel()
	close(pipe.release)
	<-ended
}

// countingWriter counts the writes.
type countingWriter struct {
	bytes.Buffer
	writes int
}

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	return c.Buffer.Write(p)
}

// Guards against a system call for each line: a leader of a large fleet logs some thousand a second.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	const lines = 300
	var out countingWriter
	j := journal.New(journal.Config{Writer: &out})
	for n := range lines {
		j.Info("run start", "index", n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	j.Run(ctx)
	if got := strings.Count(out.String(), "\n"); got != lines {
		t.Errorf("lines: got %d, want %d", got, lines)
	}
	if got, want := out.writes, 2; got > want {
		t.Errorf("writes of %d lines: got %d, want at most %d", lines, got, want)
	}
}

func BenchmarkInfo(b *testing.B) {
	var events []string
	for n := range 20_000 {
		events = append(events, fmt.Sprint("event ", n))
	}
	j := journal.New(journal.Config{Writer: &bytes.Buffer{}})
	n := 0
	for b.Loop() {
		// Another event each time, so that the rate limit drops none.
		n++
		j.Info(events[n%len(events)], "job", "5c0e7a21d94b36f8", "step", 1, "index", 7, "run", int64(2), "host", "i-7f3a91c2")
	}
}
