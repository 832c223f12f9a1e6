package journal_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/journal"
)

// run notes lines and returns what was written.
func run(t *testing.T, note func(j *journal.Journal)) string {
	t.Helper()
	var out bytes.Buffer
	j := journal.New(journal.Config{Writer: &out, Fields: []any{"process", "p1"}})
	note(j)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	j.Run(ctx)
	return out.String()
}

func TestLines(t *testing.T) {
	got := run(t, func(j *journal.Journal) { j.Info("job taken", "job", "x") })
	for _, want := range []string{`"msg":"job taken"`, `"process":"p1"`, `"job":"x"`} {
		if !strings.Contains(got, want) {
			t.Errorf("line: got %q, want %s in it", got, want)
		}
	}
}

func TestBudgetKeepsTheFirstOfEachKind(t *testing.T) {
	got := run(t, func(j *journal.Journal) {
		for range 3000 {
			j.Info("run start")
		}
		j.Info("leadership won")
	})
	if n := strings.Count(got, `"run start"`); n >= 3000 {
		t.Errorf("lines of one kind: got %d, want fewer than were noted", n)
	}
	if !strings.Contains(got, `"leadership won"`) {
		t.Error("line of another kind: got none, want one")
	}
}

// blocked is a pipe that nobody reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestNotingNeverBlocks(t *testing.T) {
	pipe := blocked{make(chan struct{})}
	j := journal.New(journal.Config{Writer: pipe})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		j.Run(ctx)
		close(ended)
	}()
	noted := make(chan struct{})
	go func() {
		for n := range 20_000 {
			j.Info("kind " + string(rune('a'+n%26)))
		}
		close(noted)
	}()
	select {
	case <-noted:
	case <-time.After(20 * time.Second):
		t.Error("noting beside a full pipe: got blocked, want done")
	}
	cancel()
	close(pipe.release)
	<-ended
}

func BenchmarkNote(b *testing.B) {
	j := journal.New(journal.Config{Writer: &bytes.Buffer{}})
	for b.Loop() {
		j.Info("run start", "job", "5c0e7a21d94b36f8", "step", 1, "index", 7, "run", int64(2), "host", "i-7f3a91c2")
	}
}
