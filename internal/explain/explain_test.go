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

// Guards against an operator who sees that a job waited and not for which evacuation: the requests
// name no job, and each process logs them.
func TestEvacuationsOfAJob(t *testing.T) {
	const (
		taken     = `{"time":"2026-12-01T06:00:02.000Z","msg":"job taken","process":"front-2","job":"5c0e7a21d94b36f8"}`
		waits     = `{"time":"2026-12-01T06:00:03.000Z","msg":"tasks wait","process":"front-2","job":"5c0e7a21d94b36f8","cause":"the endpoints that could run it are being evacuated"}`
		moved     = `{"time":"2026-12-01T06:00:03.000Z","msg":"run stop","process":"front-2","job":"5c0e7a21d94b36f8","why":"data centre is evacuated"}`
		dropped   = `{"time":"2026-12-01T06:00:03.000Z","msg":"start withdrawn","process":"front-2","job":"5c0e7a21d94b36f8","evacuated":true}`
		kept      = `{"time":"2026-12-01T06:00:03.000Z","msg":"start withdrawn","process":"front-2","job":"5c0e7a21d94b36f8","evacuated":false}`
		started   = `{"time":"2026-12-01T06:00:09.000Z","msg":"run start","process":"front-2","job":"5c0e7a21d94b36f8"}`
		earlier   = `{"time":"2026-12-01T05:00:01.000Z","msg":"evacuation requested","process":"front-2","data-centre":"suva"}`
		undone    = `{"time":"2026-12-01T05:00:02.000Z","msg":"evacuation withdrawn","process":"front-2","data-centre":"suva"}`
		requested = `{"time":"2026-12-01T06:00:01.000Z","msg":"evacuation requested","process":"front-2","data-centre":"suva"}`
		heard     = `{"time":"2026-12-01T06:00:01.100Z","msg":"evacuation requested","process":"front-1","data-centre":"suva"}`
		withdrawn = `{"time":"2026-12-01T06:00:08.000Z","msg":"evacuation withdrawn","process":"front-2","data-centre":"suva"}`
		later     = `{"time":"2026-12-01T06:00:10.000Z","msg":"evacuation requested","process":"front-2","data-centre":"suva"}`
	)
	tests := map[string]struct {
		log  []string
		want string
	}{
		"waited": {
			log:  []string{earlier, undone, requested, heard, taken, waits, withdrawn, started, later},
			want: "evacuation requested, job taken, tasks wait, evacuation withdrawn, run start",
		},
		"lines in another order": {
			log:  []string{started, withdrawn, waits, requested, undone, taken, earlier},
			want: "evacuation requested, job taken, tasks wait, evacuation withdrawn, run start",
		},
		"moved": {
			log:  []string{requested, taken, moved, withdrawn, started},
			want: "evacuation requested, job taken, run stop, evacuation withdrawn, run start",
		},
		"start withdrawn": {
			log:  []string{requested, taken, dropped, withdrawn, started},
			want: "evacuation requested, job taken, start withdrawn, evacuation withdrawn, run start",
		},
		"not held up": {log: []string{requested, taken, kept, withdrawn, started}, want: "job taken, start withdrawn, run start"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			timeline, err := explain.Read(id, strings.NewReader(strings.Join(test.log, "\n")))
			if err != nil {
				t.Fatal(err)
			}
			var events []string
			for _, line := range timeline.Lines {
				events = append(events, line.Event)
			}
			if got := strings.Join(events, ", "); got != test.want {
				t.Errorf("events: got %s, want %s", got, test.want)
			}
		})
	}
}
