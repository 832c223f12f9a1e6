// Package explain collects the log lines about one job from the processes' logs.
//
// # Usage
//
//	timeline, err := explain.Read("5c0e7a21d94b36f8", files...)
//	for _, line := range timeline.Lines { fmt.Println(line) }
//
// A log is a file of JSON lines. Text before a line's first brace is ignored, so
// that logs whose lines were prefixed by a collector can be read as they are.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds a line; the longest lines contain an error's text.
	maxLineBytes = 1 << 20
	// minGap is the shortest time between two lines that is reported as a gap.
	minGap = 2 * time.Second
)

// Names of the fields that every line has.
const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldProcess = "process"
	fieldLevel   = "level"
)

// idFields are the fields that hold a job's ID.
var idFields = []string{"request-id", "job"}

// Line is one logged event about a job.
type Line struct {
	At      time.Time
	Process string
	Event   string
	// Fields holds the other fields as name=value, sorted by name.
	Fields []string
	// Gap is the time since the previous line if it is at least minGap, else 0.
	Gap time.Duration
}

// String returns the line in human-readable form.
func (l Line) String() string {
	out := fmt.Sprintf("%s  %-20s  %-18s  %s", l.At.Format("15:04:05.000"), l.Process, l.Event, strings.Join(l.Fields, " "))
	if l.Gap > 0 {
		out = fmt.Sprintf("              ... nothing for %s ...\n%s", l.Gap.Round(time.Millisecond), out)
	}
	return strings.TrimRight(out, " ")
}

// Timeline holds the log lines about a job, sorted by time.
type Timeline struct {
	Lines []Line
}

// Read returns the timeline of the job with an ID. It is an error if no line is
// that of a lovagedyke process, or if none mentions the job.
func Read(id string, logs ...io.Reader) (Timeline, error) {
	var timeline Timeline
	parsed := 0
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, fields, ok := parse(scanner.Bytes())
			if !ok {
				continue
			}
			parsed++
			if mentionsJob(fields, id) {
				timeline.Lines = append(timeline.Lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return Timeline{}, errors.Wrap(err, "read the log")
		}
	}
	if parsed == 0 {
		return Timeline{}, errors.New("the logs contain no line of a lovagedyke process")
	}
	if len(timeline.Lines) == 0 {
		return Timeline{}, errors.Newf("none of %d lines names %s", parsed, id)
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i := 1; i < len(timeline.Lines); i++ {
		if gap := timeline.Lines[i].At.Sub(timeline.Lines[i-1].At); gap >= minGap {
			timeline.Lines[i].Gap = gap
		}
	}
	return timeline, nil
}

// parse decodes a line. It returns false for lines of other programs.
func parse(text []byte) (Line, map[string]any, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, nil, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, nil, false
	}
	event, _ := fields[fieldMessage].(string)
	timestamp, _ := fields[fieldTime].(string)
	at, err := time.Parse(time.RFC3339, timestamp)
	if err != nil || event == "" {
		return Line{}, nil, false
	}
	line := Line{At: at, Event: event}
	line.Process, _ = fields[fieldProcess].(string)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if slices.Contains([]string{fieldTime, fieldMessage, fieldProcess, fieldLevel}, name) {
			continue
		}
		if value := fmt.Sprint(fields[name]); cmp.Or(value, "") != "" {
			line.Fields = append(line.Fields, name+"="+value)
		}
	}
	return line, fields, true
}

// mentionsJob reports whether one of the idFields holds the job's ID.
func mentionsJob(fields map[string]any, id string) bool {
	for _, field := range idFields {
		if value, ok := fields[field].(string); ok && value == id {
			return true
		}
	}
	return false
}
