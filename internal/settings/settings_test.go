package settings_test

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/logging"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

func TestLoadPrecedence(t *testing.T) {
	const file = "[stop]\ngrace = 10s\nbalancer-delay = 1s\n[weights]\nmoves = 2.5\n"
	tests := map[string]struct {
		args []string
		env  map[string]string
		want time.Duration
	}{
		"default":                  {want: 30 * time.Second},
		"file":                     {args: []string{"-settings", "FILE"}, want: 10 * time.Second},
		"environment over file":    {args: []string{"-settings", "FILE"}, env: map[string]string{"LOVAGEDYKE_GRACE": "20s"}, want: 20 * time.Second},
		"flag over environment":    {args: []string{"-settings", "FILE", "-grace=40s"}, env: map[string]string{"LOVAGEDYKE_GRACE": "20s"}, want: 40 * time.Second},
		"file from environment":    {env: map[string]string{"LOVAGEDYKE_SETTINGS": "FILE"}, want: 10 * time.Second},
		"rest after the last flag": {args: []string{"-grace", "7s", "rest"}, want: 7 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			path := writeFile(t, file)
			inFile := func(s string) string { return strings.ReplaceAll(s, "FILE", path) }
			var args []string
			for _, arg := range tc.args {
				args = append(args, inFile(arg))
			}
			config, rest, err := settings.Load(args, func(name string) string { return inFile(tc.env[name]) })
			if err != nil {
				t.Fatal(err)
			}
			if got := config.Grace; got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
			if got, want := len(rest) == 1, strings.HasPrefix(name, "rest"); got != want {
				t.Errorf("rest: got %v", rest)
			}
		})
	}
}

func TestLoadReportsAllMistakes(t *testing.T) {
	path := writeFile(t, `[stop]
grace = 10
[addresses]
caller-adress = 127.0.0.1:1
peer-address = localhost:2
moves = 1
[agreement]
poll-interval = 4s
`)
	env := map[string]string{"LOVAGEDYKE_LOG_FORMAT": "xml"}
	_, _, err := settings.Load([]string{"-settings", path, "-operator-address=10.0.0.1:3"}, func(name string) string { return env[name] })
	if err == nil {
		t.Fatal("got no error, want several")
	}
	got := strings.ReplaceAll(err.Error(), path, "f")
	want := []string{
		`f:4: caller-adress is unknown (want "caller-address")`,
		`f:6: moves is in section [addresses] (want [weights])`,
		`f:5: peer-address "localhost:2" is malformed (want an IP number and port such as 127.0.0.1:8080)`,
		`LOVAGEDYKE_LOG_FORMAT: log-format "xml" is malformed (want text or json)`,
		`f:2: grace "10" is malformed (want a duration with its unit, such as 2s or 500ms)`,
		`f:8: poll-interval is 4s (want less than fresh-bound, 3s)`,
		`flag: operator-address 10.0.0.1:3 is not a loopback address and has no certificate (want operator-certificate, or a loopback address)`,
	}
	if want := strings.Join(want, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestLoadUnknownFlag(t *testing.T) {
	_, _, err := settings.Load([]string{"-grase", "3s"}, func(string) string { return "" })
	want := `flag: grase is unknown (want "grace")`
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestRequire(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	complete := settings.Config{
		Name: "a", Host: "h", DataCentre: "b", CallerAddress: address, PeerAddress: address,
		OperatorAddress: address, OperationsAddress: address, PlatformAddress: address, OperatorKeyFile: "k",
	}
	entry, otherRole := complete, complete
	entry.OperatorKeyFile = ""
	otherRole.Role = settings.RoleEntry
	tests := map[string]struct {
		config settings.Config
		role   settings.Role
		want   string
	}{
		"complete":            {complete, settings.RoleManager, ""},
		"entry without key":   {entry, settings.RoleEntry, ""},
		"manager without key": {entry, settings.RoleManager, "operator-key-file is missing (want a file name)"},
		"other role":          {otherRole, settings.RoleManager, "role is entry (want manager)"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := tc.config.Require(tc.role); err != nil {
				got = err.Error()
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestManualListsAllSettings(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "man", "lovagedyke-settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	var usage bytes.Buffer
	settings.Usage(&usage)
	for line := range strings.Lines(usage.String()) {
		flag, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if want := strings.TrimPrefix(flag, "-"); !strings.Contains(string(page), want) {
			t.Errorf("setting %s is missing on the manual page", want)
		}
	}
}

func TestLogIsJSON(t *testing.T) {
	var out bytes.Buffer
	logger := logging.New(logging.Config{Writer: &out, Format: settings.LogJSON, Level: "warn", Fields: []any{"name", "a"}})
	logger.Info("not logged")
	logger.Warn("logged", "request-id", "r")
	var got map[string]string
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	delete(got, "time")
	want := map[string]string{"level": "warn", "msg": "logged", "name": "a", "request-id": "r"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func FuzzLoad(f *testing.F) {
	f.Add("[stop]\ngrace = 10s\n")
	f.Add("[x\ny\n=1\n[weights]\nmoves = NaN\n")
	f.Fuzz(func(t *testing.T, text string) {
		path := writeFile(t, text)
		config, _, err := settings.Load([]string{"-settings", path}, func(string) string { return "" })
		if err == nil && (config.Grace <= 0 || config.FreshBound <= config.PollInterval) {
			t.Fatalf("got %+v without an error", config)
		}
	})
}

func writeFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "f.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
