// Package explain puts together what the processes' logs say of one job.
//
// # Usage
//
//	story, err := explain.Read("5c0e7a21d94b36f8", files...)
//	for _, line := range story.Lines { fmt.Println(line) }
//
// A log is a file of JSON lines. Text before a line's first brace is passed
// over, so that collected logs can be read as they are.
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
	// lineMost bounds a line in bytes; the longest lines of ours hold an error's text.
	lineMost = 1 << 20
	// gapLeast is the time without a line from which a gap is named.
	gapLeast = 2 * time.Second
)

// Fields that every line has, and those that name a job.
const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldProcess = "process"
	fieldLevel   = "level"
)

var idFields = []string{"request-id", "job"}

// Line is one event of a job's story.
type Line struct {
	At      time.Time
	Process string
	Event   string
	// Fields holds the rest as name=value, in the order of the names.
	Fields []string
	// Gap is the time since the line before, if it is worth naming.
	Gap time.Duration
}

// String is the line as a person reads it.
func (l Line) String() string {
	out := fmt.Sprintf("%s  %-20s  %-18s  %s", l.At.Format("15:04:05.000"), l.Process, l.Event, strings.Join(l.Fields, " "))
	if l.Gap > 0 {
		out = fmt.Sprintf("              ... nothing for %s ...\n%s", l.Gap.Round(time.Millisecond), out)
	}
	return strings.TrimRight(out, " ")
}

// Story is what the logs say of a job, in the order of time.
type Timeline struct {
	Lines []Line
}

// Read reads logs. Errors: no line is one of ours, or none names the job.
func Read(id string, logs ...io.Reader) (Timeline, error) {
	var story Timeline
	seen := 0
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, lineMost)
		for scanner.Scan() {
			line, fields, ok := parse(scanner.Bytes())
			if !ok {
				continue
			}
			seen++
			if names(fields, id) {
				story.Lines = append(story.Lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return Timeline{}, errors.Wrap(err, "read the log")
		}
	}
	if seen == 0 {
		return Timeline{}, errors.New("no line of the logs is one of a lovagedyke process")
	}
	if len(story.Lines) == 0 {
		return Timeline{}, errors.Newf("none of %d lines names %s", seen, id)
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i := 1; i < len(story.Lines); i++ {
		if gap := story.Lines[i].At.Sub(story.Lines[i-1].At); gap >= gapLeast {
			story.Lines[i].Gap = gap
		}
	}
	return story, nil
}

// parse reads a line.
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
	written, _ := fields[fieldTime].(string)
	at, err := time.Parse(time.RFC3339, written)
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

// names reports whether a line is about a job.
func names(fields map[string]any, id string) bool {
	for _, field := range idFields {
		if value, ok := fields[field].(string); ok && value == id {
			return true
		}
	}
	return false
}
