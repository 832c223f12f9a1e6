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

// Names of fields. Every line has the first four.
const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldProcess = "process"
	fieldLevel   = "level"
	// fieldEndpoint is the endpoint that a line is about, if any.
	fieldEndpoint = "endpoint"
)

// Names of the lines about evacuations.
const (
	eventEvacuation = "evacuation requested"
	eventWithdrawal = "evacuation withdrawn"
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
	collector := NewCollector(CollectorConfig{ID: id})
	for _, log := range logs {
		if err := collector.Add(log); err != nil {
			return Timeline{}, err
		}
	}
	return collector.Timeline()
}

// CollectorConfig configures a Collector.
type CollectorConfig struct {
	// ID is the job's ID.
	ID string
	// WithEndpoints adds what the processes logged, during the job's time, about the
	// endpoints that its lines name.
	WithEndpoints bool
}

// Collector collects the lines about a job from logs that are read one after the other.
type Collector struct {
	config CollectorConfig
	parsed int
	lines  []Line
	// endpoints holds the endpoints that the job's lines name, endpointLines the lines about
	// any endpoint that name no job.
	endpoints     map[string]bool
	endpointLines map[string][]Line
	// evacuated holds the processes whose lines say that an evacuation held the job up, and
	// evacuationLines what each process logged about requests for evacuations.
	evacuated       map[string]bool
	evacuationLines map[string][]evacuationLine
}

// evacuationLine is a line about a request for the evacuation of a data centre, or its withdrawal.
type evacuationLine struct {
	Line
	dataCentre  string
	isRequested bool
}

// NewCollector returns a Collector without lines.
func NewCollector(config CollectorConfig) *Collector {
	return &Collector{
		config: config, endpoints: map[string]bool{}, endpointLines: map[string][]Line{},
		evacuated: map[string]bool{}, evacuationLines: map[string][]evacuationLine{},
	}
}

// Add reads a log to its end.
func (c *Collector) Add(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, fields, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		c.parsed++
		c.add(line, fields)
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

// add keeps a line if it may be part of the timeline.
func (c *Collector) add(line Line, fields map[string]any) {
	endpoint, _ := fields[fieldEndpoint].(string)
	if mentionsJob(fields, c.config.ID) {
		c.lines = append(c.lines, line)
		if endpoint != "" {
			c.endpoints[endpoint] = true
		}
		if isHeldUpByEvacuation(fields) {
			c.evacuated[line.Process] = true
		}
		return
	}
	if line.Event == eventEvacuation || line.Event == eventWithdrawal {
		dataCentre, _ := fields["data-centre"].(string)
		c.evacuationLines[line.Process] = append(c.evacuationLines[line.Process], evacuationLine{
			Line: line, dataCentre: dataCentre, isRequested: line.Event == eventEvacuation,
		})
	}
	if c.config.WithEndpoints && endpoint != "" && !namesJob(fields) {
		c.endpointLines[endpoint] = append(c.endpointLines[endpoint], line)
	}
}

// Timeline returns the collected lines in order of time. It is an error if no line is
// that of a lovagedyke process, or if none mentions the job.
func (c *Collector) Timeline() (Timeline, error) {
	if c.parsed == 0 {
		return Timeline{}, errors.New("the logs contain no line of a lovagedyke process")
	}
	if len(c.lines) == 0 {
		return Timeline{}, errors.Newf("none of %d lines names %s", c.parsed, c.config.ID)
	}
	lines := slices.Clone(c.lines)
	sortByTime(lines)
	first, last := lines[0].At, lines[len(lines)-1].At
	for endpoint := range c.endpoints {
		for _, line := range c.endpointLines[endpoint] {
			if !line.At.Before(first) && !line.At.After(last) {
				lines = append(lines, line)
			}
		}
	}
	for process := range c.evacuated {
		lines = append(lines, relevantEvacuations(c.evacuationLines[process], first, last)...)
	}
	sortByTime(lines)
	for i := 1; i < len(lines); i++ {
		if gap := lines[i].At.Sub(lines[i-1].At); gap >= minGap {
			lines[i].Gap = gap
		}
	}
	return Timeline{Lines: lines}, nil
}

// isHeldUpByEvacuation reports whether a line about the job says that an evacuation held it up: its
// tasks waited, or were moved, or a start was withdrawn.
func isHeldUpByEvacuation(fields map[string]any) bool {
	cause, _ := fields["cause"].(string)
	why, _ := fields["why"].(string)
	isWithdrawn, _ := fields["evacuated"].(bool)
	return isWithdrawn || strings.Contains(cause, "evacuated") || strings.Contains(why, "evacuated")
}

// relevantEvacuations returns the lines of one process that were logged in the job's time, and the
// requests that were in force at its begin.
func relevantEvacuations(evacuations []evacuationLine, first, last time.Time) []Line {
	slices.SortStableFunc(evacuations, func(a, b evacuationLine) int { return a.At.Compare(b.At) })
	var lines []Line
	before := map[string]evacuationLine{}
	for _, line := range evacuations {
		switch {
		case line.At.Before(first):
			before[line.dataCentre] = line
		case !line.At.After(last):
			lines = append(lines, line.Line)
		}
	}
	for _, line := range before {
		if line.isRequested {
			lines = append(lines, line.Line)
		}
	}
	return lines
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
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

// namesJob reports whether one of the idFields is there.
func namesJob(fields map[string]any) bool {
	return slices.ContainsFunc(idFields, func(field string) bool { return fields[field] != nil })
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
