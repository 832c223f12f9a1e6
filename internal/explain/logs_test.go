package explain_test

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovagedyke/lovagedyke/internal/explain"
)

func TestLogs(t *testing.T) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write([]byte(logText)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		// files are written below the directory "logs".
		files     map[string]string
		names     []string
		stdin     string
		wantLines int
		wantErr   string
	}{
		"file":                   {files: map[string]string{"a.log": logText}, names: []string{"logs/a.log"}, wantLines: 3},
		"directory":              {files: map[string]string{"a.log": logText, "old/b.log": logText}, names: []string{"logs"}, wantLines: 6},
		"compressed":             {files: map[string]string{"a.log.gz": compressed.String()}, names: []string{"logs"}, wantLines: 3},
		"standard input":         {names: []string{explain.StdinName}, stdin: logText, wantLines: 3},
		"compressed and cut off": {files: map[string]string{"a.gz": compressed.String()[:60]}, names: []string{"logs"}, wantErr: "unexpected EOF"},
		"missing":                {names: []string{"nowhere"}, wantErr: "no such file"},
		"empty directory":        {files: map[string]string{}, names: []string{"logs"}, wantErr: "no file"},
		"empty file":             {files: map[string]string{"a.log": ""}, names: []string{"logs"}, wantErr: "no line"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			writeFiles(t, filepath.Join(dir, "logs"), c.files)
			names := make([]string, 0, len(c.names))
			for _, name := range c.names {
				if name != explain.StdinName {
					name = filepath.Join(dir, name)
				}
				names = append(names, name)
			}
			got, err := readLogs(names, c.stdin)
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Errorf("error: got %v, want %q in it", err, c.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if len(got.Lines) != c.wantLines {
				t.Errorf("lines: got %d, want %d", len(got.Lines), c.wantLines)
			}
		})
	}
}

func writeFiles(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	if files != nil {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// readLogs returns the timeline of the test's job from all logs.
func readLogs(names []string, stdin string) (explain.Timeline, error) {
	logs, err := explain.Logs(names, strings.NewReader(stdin))
	if err != nil {
		return explain.Timeline{}, err
	}
	collector := explain.NewCollector(explain.CollectorConfig{ID: id})
	for _, log := range logs {
		if err := log.AddTo(collector); err != nil {
			return explain.Timeline{}, err
		}
	}
	return collector.Timeline()
}

func TestEndpointLines(t *testing.T) {
	const text = `{"time":"2026-12-01T06:00:00Z","msg":"endpoint listed","process":"front-2","endpoint":"i-1"}
{"time":"2026-12-01T06:00:01Z","msg":"run start","process":"front-2","job":"5c0e7a21d94b36f8","endpoint":"i-1"}
{"time":"2026-12-01T06:00:02Z","msg":"endpoint has a new life","process":"front-2","endpoint":"i-1"}
{"time":"2026-12-01T06:00:02Z","msg":"endpoint has a new life","process":"front-2","endpoint":"i-2"}
{"time":"2026-12-01T06:00:02Z","msg":"run start","process":"front-2","job":"ffffffffffffffff","endpoint":"i-1"}
{"time":"2026-12-01T06:00:03Z","msg":"run lost","process":"front-2","job":"5c0e7a21d94b36f8","endpoint":"i-1"}
{"time":"2026-12-01T06:00:04Z","msg":"endpoint gone","process":"front-2","endpoint":"i-1"}
`
	tests := map[string]struct {
		withEndpoints bool
		want          string
	}{
		"the job alone":  {want: "run start, run lost"},
		"with endpoints": {withEndpoints: true, want: "run start, endpoint has a new life, run lost"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			collector := explain.NewCollector(explain.CollectorConfig{ID: id, WithEndpoints: c.withEndpoints})
			if err := collector.Add(strings.NewReader(text)); err != nil {
				t.Fatal(err)
			}
			timeline, err := collector.Timeline()
			if err != nil {
				t.Fatal(err)
			}
			var events []string
			for _, line := range timeline.Lines {
				events = append(events, line.Event)
			}
			if got := strings.Join(events, ", "); got != c.want {
				t.Errorf("events: got %s, want %s", got, c.want)
			}
		})
	}
}
