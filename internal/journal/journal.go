// Package journal is the rate-limited, non-blocking JSON log of a process.
//
// # Usage
//
//	lines := journal.New(journal.Config{Writer: os.Stdout, Fields: []any{"process", name}})
//	go lines.Run(ctx)
//	lines.Info("request refused", "request-id", id, "reason", reason)
//
// Each event (message) has a limit of lines per second. Lines beyond it are
// omitted and counted; the first lines of the next second report the counts.
// A line that finds the buffer full is dropped and counted in a metric. Lines are written a few
// milliseconds later, many at once.
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
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

const (
	// maxLinesPerEvent limits the lines per event and second; the busiest
	// deployment starts about 300 tasks per second.
	maxLinesPerEvent = 400
	// lineBufferSize is the capacity of the queue between loggers and Run, in lines.
	lineBufferSize = 4096
	// writeDelay delays a write after its first line, for more to join: a busy process logs some
	// thousand lines a second. maxWriteBytes is the size from which no more lines join.
	writeDelay    = 10 * time.Millisecond
	maxWriteBytes = 64 << 10
	// drainTimeout bounds the writing of queued lines after the context ends.
	drainTimeout = 300 * time.Millisecond
)

// Config configures a journal.
type Config struct {
	Writer io.Writer
	// Level is debug, info, warn or error; anything else means info.
	Level string
	// Fields are added to every line, as alternating names and values.
	Fields []any
}

// Journal is the log of a process.
type Journal struct {
	config  Config
	lines   chan []byte
	dropped *metrics.Counter
	// batch is the buffer of Run's writes.
	batch []byte

	mu         sync.Mutex
	buffer     bytes.Buffer
	logger     *log.Logger
	second     int64
	lineCounts map[string]int
}

// New returns a journal. Lines are queued until Run is called.
func New(config Config) *Journal {
	j := &Journal{
		config: config, lines: make(chan []byte, lineBufferSize), lineCounts: map[string]int{},
		dropped: metrics.GetOrCreateCounter("journal_lines_dropped_total"),
	}
	j.logger = logging.New(logging.Config{Writer: &j.buffer, Format: settings.LogJSON, Level: config.Level, Fields: config.Fields})
	return j
}

// Run writes lines until ctx ends, then the lines that are still queued.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case line := <-j.lines:
			if !loops.Sleep(ctx, writeDelay) {
				j.write(line)
				j.drain()
				return
			}
			j.write(line)
		case <-ctx.Done():
			j.drain()
			return
		}
	}
}

// write writes a line and those that are queued, up to maxWriteBytes, at once; a write error only
// counts the lines as dropped.
func (j *Journal) write(first []byte) {
	lines := 1
	j.batch = append(j.batch[:0], first...)
	for len(j.batch) < maxWriteBytes {
		select {
		case line := <-j.lines:
			j.batch = append(j.batch, line...)
			lines++
			continue
		default:
		}
		break
	}
	if _, err := j.config.Writer.Write(j.batch); err != nil {
		j.dropped.Add(lines)
	}
}

// drain writes the queued lines for at most drainTimeout.
func (j *Journal) drain() {
	end := time.Now().Add(drainTimeout)
	for time.Now().Before(end) {
		select {
		case line := <-j.lines:
			j.write(line)
		default:
			return
		}
	}
}

// Info logs an event at level info; fields are alternating names and values.
func (j *Journal) Info(event string, fields ...any) {
	j.logLine(log.InfoLevel, event, fields)
}

// Warn logs an event at level warn, for conditions that should not occur.
func (j *Journal) Warn(event string, fields ...any) {
	j.logLine(log.WarnLevel, event, fields)
}

// Error logs an event at level error, for conditions that an operator has to mend.
func (j *Journal) Error(event string, fields ...any) {
	j.logLine(log.ErrorLevel, event, fields)
}

func (j *Journal) logLine(level log.Level, event string, fields []any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := time.Now().Unix(); second != j.second {
		j.second = second
		j.reportOmitted()
	}
	j.lineCounts[event]++
	if j.lineCounts[event] > maxLinesPerEvent {
		return
	}
	j.emit(level, event, fields)
}

// reportOmitted logs how many lines of each event the last second omitted.
func (j *Journal) reportOmitted() {
	for _, event := range slices.Sorted(maps.Keys(j.lineCounts)) {
		if omitted := j.lineCounts[event] - maxLinesPerEvent; omitted > 0 {
			j.emit(log.WarnLevel, "lines omitted", []any{"kind", event, "count", omitted})
		}
	}
	clear(j.lineCounts)
}

// emit formats a line and queues it for Run.
func (j *Journal) emit(level log.Level, event string, fields []any) {
	j.buffer.Reset()
	j.logger.Log(level, event, fields...)
	select {
	case j.lines <- bytes.Clone(j.buffer.Bytes()):
	default:
		j.dropped.Inc()
	}
}
