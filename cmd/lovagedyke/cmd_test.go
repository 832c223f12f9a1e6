package main

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/operator"
	"github.com/lovagedyke/lovagedyke/internal/pool"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

const testKey = "operator key of the commands' tests"

// fakeFleet has a single entry, which confirms every revision unless
// unconfirmed is set.
type fakeFleet struct {
	unconfirmed bool
}

func (f *fakeFleet) Push(context.Context, revision.Change) {}

func (f *fakeFleet) InForce(context.Context, uint64) (confirmed, missing []string) {
	if f.unconfirmed {
		return nil, []string{"entry-1"}
	}
	return []string{"entry-1"}, nil
}

func (f *fakeFleet) Roster(context.Context) ([]api.Member, error) {
	return []api.Member{{Name: "entry-1", Role: "entry", DataCentre: "west", Address: "127.0.0.1:1", Revision: 2, State: "live"}}, nil
}

func (f *fakeFleet) Charge(_ context.Context, id string) (api.Charge, error) {
	if id != "c1" {
		return api.Charge{}, operator.ErrNotFound
	}
	return api.Charge{ID: "c1", Run: api.Run{Run: "r1", Entry: "orders", Team: "acme"}}, nil
}

func (f *fakeFleet) Unproven(context.Context) ([]api.Run, error) {
	return nil, nil
}

// fakeHosts is one host in the data centre west, which runs a request and two
// tasks.
type fakeHosts struct {
	store table.Store
}

func (fakeHosts) Hosts(context.Context) ([]api.Host, error) {
	return []api.Host{{Name: "host-1", DataCentre: "west", Pool: "p"}}, nil
}

func (fakeHosts) DrainHost(context.Context, string, pool.Purpose, string) (api.Host, error) {
	return api.Host{}, operator.ErrNotFound
}

func (fakeHosts) ReturnHost(context.Context, string) (api.Host, error) {
	return api.Host{}, operator.ErrNotFound
}

func (h fakeHosts) Evacuations(ctx context.Context) ([]api.Evacuation, error) {
	state, err := revision.Load(ctx, h.store)
	var evacuations []api.Evacuation
	for _, dataCentre := range state.EvacuatedDataCentres() {
		evacuations = append(evacuations, api.Evacuation{
			DataCentre: dataCentre, Since: time.Unix(0, 0), Missing: []string{"entry-2"},
			Hosts: []api.EvacuatedHost{{Name: "host-1", Pool: "p", Requests: 1, Tasks: 2}},
		})
	}
	return evacuations, err
}

// testCLI runs commands against the operators' API of one in-memory manager.
type testCLI struct {
	store       *table.Memory
	fleet       *fakeFleet
	environment map[string]string
	dir         string
	stdin       string
}

func newTestCLI(t *testing.T) *testCLI {
	c := &testCLI{store: table.NewMemory(), fleet: &fakeFleet{}, dir: t.TempDir()}
	committer := revision.NewCommitter(revision.CommitterConfig{
		Store:   c.store,
		Replica: revision.NewReplica(revision.ReplicaConfig{}),
		Ready:   func() bool { return true },
		Guard:   func() []table.Condition { return nil },
	})
	server := httptest.NewServer(operator.New(operator.Config{
		Store: c.store, Committer: committer, Fleet: c.fleet, Records: c.fleet,
		Hosts: fakeHosts{store: c.store}, Evacuations: fakeHosts{store: c.store},
		Keys: func() [][]byte { return [][]byte{[]byte(testKey)} },
	}))
	t.Cleanup(server.Close)
	c.environment = map[string]string{
		"LOVAGEDYKE_MANAGER":           server.Listener.Addr().String(),
		"LOVAGEDYKE_OPERATOR_KEY_FILE": c.writeFile(t, "operator.key", testKey+"\n"),
	}
	return c
}

func (c *testCLI) writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run returns the exit code and the output of a command.
func (c *testCLI) run(args ...string) (code int, stdout, stderr string) {
	var out, messages bytes.Buffer
	env := &Env{Stdin: strings.NewReader(c.stdin), Stdout: &out, Stderr: &messages, Getenv: func(name string) string { return c.environment[name] }}
	code = run(context.Background(), env, commands, args)
	return code, out.String(), messages.String()
}

// expect checks the exit code and that stdout or stderr contains want. It
// returns stdout.
func (c *testCLI) expect(t *testing.T, wantCode int, want string, args ...string) string {
	t.Helper()
	code, stdout, stderr := c.run(args...)
	if code != wantCode || !strings.Contains(stdout+stderr, want) {
		t.Errorf("%s: got code %d, %q, %q, want code %d and %q", strings.Join(args, " "), code, stdout, stderr, wantCode, want)
	}
	return stdout
}

const catalogueText = "[team acme]\nupper-limit = 4\n[service orders]\nteam = acme\nlimit = 2\n"

func TestOperatorCommands(t *testing.T) {
	c := newTestCLI(t)
	file := c.writeFile(t, "catalogue.ini", catalogueText)
	c.expect(t, exitOK, "+ service orders", "catalogue", "apply", "-dry-run", file)
	c.expect(t, exitOK, "accepted as revision 1", "catalogue", "apply", "-operation", "first", file)
	c.expect(t, exitOK, "nothing to change, revision 1", "catalogue", "apply", "-operation", "first", file)
	changed := c.writeFile(t, "changed.ini", strings.Replace(catalogueText, "limit = 2", "limit = 3", 1))
	c.expect(t, exitOK, "~ service orders (limit: 2 -> 3)", "catalogue", "apply", "-wait", "1s", changed)
	c.expect(t, exitConflict, "was used for another change", "catalogue", "apply", "-operation", "first", changed)
	c.expect(t, exitOK, "limit = 3", "catalogue", "show", "orders")
	c.expect(t, exitOK, "orders  service  acme", "catalogue", "list")

	key := strings.TrimSpace(c.expect(t, exitOK, "in force on all 1 processes", "key", "give", "-wait", "1s", "acme"))
	id := strings.Split(key, "_")[1]
	keyList := c.expect(t, exitOK, "in-force", "key", "list")
	if strings.Contains(keyList, key) {
		t.Errorf("got the secret in %q", keyList)
	}
	c.fleet.unconfirmed = true
	c.expect(t, exitNotInForce, "not confirmed by entry-1", "key", "withdraw", "-wait", "50ms", id)
	c.expect(t, exitOK, "withdrawn", "key", "list")
	c.expect(t, exitOK, "accepted as revision 5", "catalogue", "remove", "orders")
	c.expect(t, exitFailed, `"orders" is unknown`, "catalogue", "remove", "orders")

	c.expect(t, exitOK, "entry-1  entry", "roster")
	c.expect(t, exitOK, "c1      r1   orders", "charge", "trace", "c1")
	c.expect(t, exitFailed, "no such record", "charge", "trace", "c2")
	var runs []api.Run
	if err := json.Unmarshal([]byte(c.expect(t, exitOK, "", "charge", "unproven", "-output", "json")), &runs); err != nil {
		t.Error(err)
	}
}

// Guards against a command that reports a change that was not made, hides that no
// data centre is left, or hides a process that the request has not reached.
func TestEvacuateCommands(t *testing.T) {
	tests := map[string]struct {
		before   [][]string
		faults   table.Faults
		missing  bool
		args     []string
		wantCode int
		want     string
	}{
		"start": {
			args: []string{"evacuate", "start", "-wait", "1s", "west"}, wantCode: exitOK, want: "in force on all 1 processes",
		},
		"all are evacuated": {
			args: []string{"evacuate", "start", "west"}, wantCode: exitOK, want: "warning: all data centres are evacuated",
		},
		"start again": {
			before: [][]string{{"evacuate", "start", "west"}},
			args:   []string{"evacuate", "start", "west"}, wantCode: exitOK, want: "nothing to change, revision 1",
		},
		"unknown data centre": {
			args: []string{"evacuate", "start", "wets"}, wantCode: exitFailed, want: `"wets" is unknown: want "west"`,
		},
		"not confirmed": {
			missing: true,
			args:    []string{"evacuate", "start", "-wait", "50ms", "west"}, wantCode: exitNotInForce, want: "not confirmed by entry-1",
		},
		"table is down": {
			faults: table.Faults{Down: true},
			args:   []string{"evacuate", "start", "west"}, wantCode: exitUnavailable, want: "table is unavailable",
		},
		"stop": {
			before: [][]string{{"evacuate", "start", "west"}},
			args:   []string{"evacuate", "stop", "west"}, wantCode: exitOK, want: "accepted as revision 2",
		},
		"stop without a start": {
			args: []string{"evacuate", "stop", "west"}, wantCode: exitOK, want: "nothing to change, revision 0",
		},
		"no data centre": {
			args: []string{"evacuate", "start"}, wantCode: exitUsage, want: "want a data centre",
		},
		"list": {
			before: [][]string{{"evacuate", "start", "west"}},
			args:   []string{"evacuate", "list"}, wantCode: exitOK, want: "west         1970-01-01T00:00:00Z  1      1         2      entry-2",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCLI(t)
			for _, args := range tc.before {
				c.expect(t, exitOK, "", args...)
			}
			c.fleet.unconfirmed = tc.missing
			c.store.SetFaults(tc.faults)
			c.expect(t, tc.wantCode, tc.want, tc.args...)
		})
	}
}

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		faults   table.Faults
		manager  string
		args     []string
		wantCode int
		want     string
	}{
		"no command":         {args: nil, wantCode: exitUsage, want: "a command is missing"},
		"unknown command":    {args: []string{"keys"}, wantCode: exitUsage, want: "a command is missing or unknown"},
		"unknown flag":       {args: []string{"key", "list", "-outptu=x"}, wantCode: exitUsage, want: "not defined"},
		"help":               {args: []string{"key", "list", "-h"}, wantCode: exitOK, want: "-output"},
		"unknown output":     {args: []string{"key", "list", "-output=xml"}, wantCode: exitUsage, want: "want table or json"},
		"missing argument":   {args: []string{"key", "give"}, wantCode: exitUsage, want: "want a team"},
		"malformed manager":  {manager: "localhost:1", args: []string{"roster"}, wantCode: exitUsage, want: "want an IP number"},
		"unknown team":       {args: []string{"key", "give", "acme"}, wantCode: exitFailed, want: `"acme" is unknown`},
		"dump of no process": {args: []string{"dump", "127.0.0.1:1"}, wantCode: exitUnavailable, want: "refused"},
		"table is down":      {faults: table.Faults{Down: true}, args: []string{"key", "list"}, wantCode: exitUnavailable, want: "table is unavailable"},
		"port out of range":  {args: []string{"node", "-metrics-port", "65536"}, wantCode: exitUsage, want: "want at most 65535"},
		"unknown order":      {args: []string{"node", "-overload-order", "size"}, wantCode: exitUsage, want: "want cost or deadline"},
		"admission neither":  {args: []string{"node", "-admission", "maybe"}, wantCode: exitUsage, want: `-admission is "maybe", want on or off`},
		"admission off":      {args: []string{"node", "-admission", "off"}, wantCode: exitUsage, want: "LOVAGEDYKE_CONFIG is not set"},
		"surplus argument":   {args: []string{"node", "metrics-port=1"}, wantCode: exitUsage, want: "want none"},
		"version":            {args: []string{"version"}, wantCode: exitOK, want: "lovagedyke"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCLI(t)
			c.store.SetFaults(tc.faults)
			if tc.manager != "" {
				c.environment["LOVAGEDYKE_MANAGER"] = tc.manager
			}
			c.expect(t, tc.wantCode, tc.want, tc.args...)
		})
	}
}

func TestCheckReportsAllProblems(t *testing.T) {
	c := newTestCLI(t)
	settingsFile := c.writeFile(t, "s.ini", "[process]\nnam = a\n")
	catalogueFile := c.writeFile(t, "c.ini", "[service a]\nteam = b\nlimit = x\n")
	code, _, stderr := c.run("check", "-settings", settingsFile, "-role", "entry", catalogueFile)
	if code != exitFailed {
		t.Errorf("got code %d, want %d", code, exitFailed)
	}
	for _, want := range []string{`s.ini:2: nam is unknown (want "name")`, "s.ini: caller-address is missing", `c.ini:2: [service a] team "b" is unknown`, `c.ini:3: [service a] limit "x" is malformed`} {
		if !strings.Contains(stderr, want) {
			t.Errorf("got %q, want %q in it", stderr, want)
		}
	}
}

// soundPolicy is a platform configuration without faults.
const soundPolicy = `{"version":7,"routes":[
	{"name":"orders","host":"a.example","prefix":"/orders/","service":"p","kind":"unsafe","max_attempts":3,"stretch":2,"target_completion_ms":1000,"timeout_ms":3000},
	{"name":"open","host":"a.example","prefix":"/","service":"p","anonymous":true,"max_attempts":1,"stretch":2,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":900}}],
	"services":[{"name":"p","rejects_overload":true},{"name":"off","spare":true}],
	"tenants":[{"name":"acme","api_keys":["k1"],"weight":0,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}],"limits":{"max_body_bytes":262144}}`

// TestCheckPlatformConfiguration guards against exit codes and findings other than the man page's.
func TestCheckPlatformConfiguration(t *testing.T) {
	replaced := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(soundPolicy) }
	const next, inForce = "next.json", "in-force.json"
	check := []string{"check", "-platform-configuration", next}
	compare := append(check, "-in-force", inForce)
	tests := map[string]struct {
		next     string
		args     []string
		wantCode int
		want     string
	}{
		"sound":             {soundPolicy, check, exitOK, "no mistakes found"},
		"warning":           {replaced(`,{"name":"off","spare":true}`, ""), check, exitWarnings, "next.json: services: warning: no pool is the spare pool"},
		"error":             {replaced(`"max_attempts":3`, `"max_attempts":0`), check, exitFailed, "next.json: routes[0].max_attempts: error: "},
		"error and warning": {replaced(`,{"name":"off","spare":true}`, "", `"weight":0`, `"weight":-1`), check, exitFailed, "weight-below-zero"},
		"unknown key":       {replaced(`"weight"`, `"wieght"`), check, exitFailed, "next.json: tenants[0].wieght: error: the key is unknown"},
		"empty":             {" \n", check, exitFailed, "next.json: error: the file is empty (empty)"},
		"empty object":      {"{}", check, exitFailed, "no queues, pools or accounts (empty)"},
		"not JSON":          {"version = 7", check, exitFailed, "(unreadable)"},
		"missing file":      {soundPolicy, []string{"check", "-platform-configuration", "none.json"}, exitFailed, "(unreadable)"},
		"missing in force":  {soundPolicy, append(check, "-in-force", "none.json"), exitFailed, "none.json: error: "},
		"same version":      {soundPolicy, compare, exitFailed, "next.json: version: error: version 7 is not above version 7"},
		"no difference":     {replaced(`"version":7`, `"version":8`), compare, exitOK, "no mistakes found"},
		"difference":        {replaced(`"version":7`, `"version":8`, `"cpu":0`, `"cpu":9`), compare, exitOK, "next.json: tenants[0].cap.cpu: change: "},
		"withdrawn key":     {replaced(`"version":7`, `"version":8`, `"k1"`, `"k2"`), compare, exitOK, "in-force.json: tenants[0].api_keys[0]: change: a key of account \"acme\" is withdrawn: calls with it get 401"},
		"JSON":              {soundPolicy, append(check, "-json"), exitOK, "[]\n"},
		"JSON warning":      {replaced(`,{"name":"off","spare":true}`, ""), append(check, "-json"), exitWarnings, `"code": "spare-pool-missing"`},
		"JSON error":        {"", append(check, "-json"), exitFailed, `"severity": "error"`},
		"JSON of settings":  {soundPolicy, []string{"check", "-json", "-settings", "none.ini"}, exitFailed, `"file": "none.ini"`},
		"in force alone":    {soundPolicy, []string{"check", "-in-force", inForce}, exitUsage, "-in-force needs -platform-configuration"},
		"nothing":           {soundPolicy, []string{"check", "-json"}, exitUsage, "nothing to check"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCLI(t)
			t.Chdir(c.dir)
			c.writeFile(t, next, tc.next)
			c.writeFile(t, inForce, soundPolicy)
			stdout := c.expect(t, tc.wantCode, tc.want, tc.args...)
			var findings []map[string]any
			if tc.wantCode != exitUsage && slices.Contains(tc.args, "-json") && json.Unmarshal([]byte(stdout), &findings) != nil {
				t.Errorf("got %q, want one JSON array", stdout)
			}
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	c := newTestCLI(t)
	t.Chdir(filepath.Join("..", "..", "examples"))
	c.expect(t, exitOK, "no mistakes found", "check", "catalogue.ini")
	for _, role := range []string{"entry", "manager"} {
		code, _, stderr := c.run("check", "-settings", role+".ini")
		if lines := strings.Split(strings.TrimSpace(stderr), "\n"); code != exitFailed || len(lines) > 2 || !strings.Contains(stderr, "is unreadable") {
			t.Errorf("%s.ini: got code %d, %q, want only missing secrets", role, code, stderr)
		}
	}
}

func TestEveryCommandHasManPage(t *testing.T) {
	for _, cmd := range commands {
		page, err := os.ReadFile(filepath.Join("..", "..", "man", "lovagedyke-"+cmd.Name+".md"))
		if err != nil {
			t.Error(err)
		}
		for _, sub := range cmd.Subcommands {
			if want := programName + " " + cmd.Name + " " + sub.Name; !strings.Contains(string(page), want) {
				t.Errorf("page of %s: got no %q", cmd.Name, want)
			}
		}
	}
}

// Setting -operator-authority turns TLS on.
func TestTLS(t *testing.T) {
	c := newTestCLI(t)
	server := httptest.NewTLSServer(operator.New(operator.Config{
		Fleet: c.fleet,
		Keys:  func() [][]byte { return [][]byte{[]byte(testKey)} },
	}))
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	tests := map[string]struct {
		authority string
		wantCode  int
		want      string
	}{
		"signed":         {c.writeFile(t, "own.pem", string(certificate)), exitOK, "entry-1"},
		"no certificate": {c.writeFile(t, "empty.pem", "x"), exitFailed, "holds no PEM certificate"},
		"missing file":   {"missing.pem", exitFailed, "no such file"},
		"without TLS":    {"", exitFailed, "400"},
	}
	c.environment["LOVAGEDYKE_MANAGER"] = server.Listener.Addr().String()
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c.expect(t, tc.wantCode, tc.want, "roster", "-operator-authority", tc.authority)
		})
	}
}

func TestDump(t *testing.T) {
	process := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":1}`))
	}))
	defer process.Close()
	newTestCLI(t).expect(t, exitOK, "\"revision\": 1", "dump", process.Listener.Addr().String())
}

func TestExplainReadsStandardInput(t *testing.T) {
	cli := newTestCLI(t)
	cli.stdin = `{"time":"2026-12-01T06:00:00Z","msg":"job taken","process":"front-2","job":"5c0e7a21d94b36f8"}`
	cli.expect(t, exitOK, "job taken", "explain", "-endpoints", "5c0e7a21d94b36f8", "-")
	cli.expect(t, exitUsage, "want a job ID and at least one log", "explain", "5c0e7a21d94b36f8")
}
