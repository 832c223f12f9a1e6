package explain_test

import (
	"strings"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/explain"
)

const id = "5c0e7a21d94b36f8"

const logText = `  0.1 front-1 {"time":"2026-12-01T06:00:02.500Z","level":"info","msg":"job taken","process":"front-2","job":"5c0e7a21d94b36f8","tasks":2}
{"time":"2026-12-01T06:00:01.000Z","level":"info","msg":"request answered","process":"front-1","request-id":"5c0e7a21d94b36f8","status":200}
{"time":"2026-12-01T06:00:01.000Z","level":"info","msg":"job taken","process":"front-1","job":"ffffffffffffffff"}
{"time":"2026-12-01T06:00:09.000Z","level":"info","msg":"run start","process":"front-2","job":"5c0e7a21d94b36f8","endpoint":"i-1"}
{"not":"ours"}
not a log line
`

func TestRead(t *testing.T) {
	timeline, err := explain.Read(id, strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	for _, line := range timeline.Lines {
		events = append(events, line.Event)
	}
	if got, want := strings.Join(events, ", "), "request answered, job taken, run start"; got != want {
		t.Errorf("events: got %s, want %s", got, want)
	}
	last := timeline.Lines[2].String()
	for _, want := range []string{"nothing for 6.5s", "06:00:09.000", "front-2", "endpoint=i-1"} {
		if !strings.Contains(last, want) {
			t.Errorf("last line: got %q, want %q in it", last, want)
		}
	}
}

func TestReadErrors(t *testing.T) {
	cases := map[string]struct{ log, id, want string }{
		"no log":      {"hello\n", id, "no line"},
		"empty":       {"", id, "no line"},
		"unknown job": {logText, "0000000000000000", "none of"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := explain.Read(c.id, strings.NewReader(c.log))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error: got %v, want %q in it", err, c.want)
			}
		})
	}
}

// Guards against a refusal that cannot be explained from the request's ID alone.
func TestRefusalForLoadIsShown(t *testing.T) {
	const refusal = `{"time":"2026-12-01T06:00:00.900Z","level":"info","msg":"request refused for load","process":"front-1",` +
		`"request-id":"5c0e7a21d94b36f8","pool":"orders","cores":100,"ahead":[0,480],"expected-start":"9.1s","retry-after":"4s"}` + "\n"
	timeline, err := explain.Read(id, strings.NewReader(refusal+logText))
	if err != nil {
		t.Fatal(err)
	}
	got := timeline.Lines[0].String()
	for _, want := range []string{"front-1", "request refused for load", "ahead=[0 480]", "cores=100", "expected-start=9.1s", "pool=orders", "retry-after=4s"} {
		if !strings.Contains(got, want) {
			t.Errorf("first line: got %q, want %q in it", got, want)
		}
	}
}
