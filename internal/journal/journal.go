// Package journal writes the decisions of a process to its log: one line each,
// without ever blocking, and within a budget of lines a second.
//
// # Usage
//
//	lines := journal.New(journal.Config{Writer: os.Stdout, Fields: []any{"process", name}})
//	go lines.Run(ctx)
//	lines.Note("request refused", "request-id", id, "reason", reason)
//
// Each kind of event has a budget a second; what is beyond it is counted, and
// the next second's first line says how many lines of which kind are missing.
// A line for which the buffer has no room is dropped and counted too.
package journal

import (
	"bytes"
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/logging"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

const (
	// linesPerKind is how many lines of one kind are written in a second: the
	// busiest of today's deployments starts some 300 tasks in one.
	linesPerKind = 400
	// bufferedLines is how many lines wait for the writer.
	bufferedLines = 4096
	// stopWait bounds the writing of what is buffered at the end.
	stopWait = 300 * time.Millisecond
)

// Config configures a journal.
type Config struct {
	Writer io.Writer
	// Level is debug, info, warn or error; anything else means info.
	Level string
	// Fields stand on every line, as pairs of name and value.
	Fields []any
}

// Journal is the log of a process.
type Journal struct {
	config  Config
	lines   chan []byte
	dropped *metrics.Counter

	mu      sync.Mutex
	buffer  bytes.Buffer
	logger  *log.Logger
	second  int64
	written map[string]int
}

// New returns a journal; nothing is written before Run.
func New(config Config) *Journal {
	j := &Journal{
		config: config, lines: make(chan []byte, bufferedLines), written: map[string]int{},
		dropped: metrics.GetOrCreateCounter("journal_lines_dropped_total"),
	}
	j.logger = logging.New(logging.Config{Writer: &j.buffer, Format: settings.LogJSON, Level: config.Level, Fields: config.Fields})
	return j
}

// Run writes lines until ctx ends, and then what is left.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case line := <-j.lines:
			j.write(line)
		case <-ctx.Done():
			j.drain()
			return
		}
	}
}

// write passes a line on. A writer that fails loses lines, and nothing else.
func (j *Journal) write(line []byte) {
	if _, err := j.config.Writer.Write(line); err != nil {
		j.dropped.Inc()
	}
}

// drain writes what is buffered, for a bounded time.
func (j *Journal) drain() {
	end := time.Now().Add(stopWait)
	for time.Now().Before(end) {
		select {
		case line := <-j.lines:
			j.write(line)
		default:
			return
		}
	}
}

// Note writes one line.
func (j *Journal) Info(event string, fields ...any) {
	j.add(log.InfoLevel, event, fields)
}

// Warn writes one line about something that should not be.
func (j *Journal) Warn(event string, fields ...any) {
	j.add(log.WarnLevel, event, fields)
}

func (j *Journal) add(level log.Level, event string, fields []any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := time.Now().Unix(); second != j.second {
		j.second = second
		j.reportOmitted()
	}
	j.written[event]++
	if j.written[event] > linesPerKind {
		return
	}
	j.emit(level, event, fields)
}

// reportOmitted says what the last second's budget left out.
func (j *Journal) reportOmitted() {
	for _, kind := range slices.Sorted(maps.Keys(j.written)) {
		if omitted := j.written[kind] - linesPerKind; omitted > 0 {
			j.emit(log.WarnLevel, "lines omitted", []any{"kind", kind, "count", omitted})
		}
	}
	clear(j.written)
}

// emit formats a line and hands it to the writer.
func (j *Journal) emit(level log.Level, event string, fields []any) {
	j.buffer.Reset()
	j.logger.Log(level, event, fields...)
	select {
	case j.lines <- bytes.Clone(j.buffer.Bytes()):
	default:
		j.dropped.Inc()
	}
}
