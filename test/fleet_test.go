// Package test runs the real binaries on loopback and hurts them.
package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	platformclient "github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
	"github.com/lovagedyke/lovagedyke/internal/standin/load"
	"github.com/lovagedyke/lovagedyke/internal/standin/platform"
	"github.com/lovagedyke/lovagedyke/internal/standin/worker"
	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

const (
	secret     = "0123456789abcdef0123456789abcdef0123456789abcdef"
	patience   = 30 * time.Second
	listLag    = 500 * time.Millisecond
	longestRun = 3 * time.Second
	teamLimit  = 12

	firstPort    = 15000
	lastPort     = 32000
	maxPortTries = 100
)

// binary is the program under test, built with the race detector.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lovagedyke")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "lovagedyke")
	build := exec.Command("go", "build", "-race", "-o", binary, "../cmd/lovagedyke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a platform, endpoints, and processes of the real binary.
type fleet struct {
	t         *testing.T
	dir       string
	platform  *httptest.Server
	endpoints []*endpoint.Server
	processes map[string]*process
	operators *client.Client
	key       string
	// flags are added to those of every process.
	flags []string
}

// process is one run of the binary.
type process struct {
	name    string
	host    string
	command *exec.Cmd
	log     *bytes.Buffer
	ended   chan error
	// Addresses by port.
	callers, peers, operations, operators netip.AddrPort
}

// newFleet starts the platform, two endpoints of service "orders", and as many
// entries and managers as asked for. Team "tackle" has the limit teamLimit.
// Options return flags for every process.
func newFleet(t *testing.T, entries, managers int, options ...func(*fleet) []string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), processes: make(map[string]*process)}
	f.platform = httptest.NewServer(platform.New(platform.Config{ListLag: listLag}).Handler())
	t.Cleanup(f.platform.Close)
	f.write("secret", secret)
	for _, option := range options {
		f.flags = append(f.flags, option(f)...)
	}
	for i := range 2 {
		f.addEndpoint(fmt.Sprintf("orders-%d", i+1))
	}
	for i := range entries {
		f.listHost(fmt.Sprintf("host-entry-%d", i+1), "entry", "")
		f.start("entry", i+1)
	}
	var addresses []netip.AddrPort
	for i := range managers {
		f.listHost(fmt.Sprintf("host-manager-%d", i+1), "entry", "")
		addresses = append(addresses, f.start("manager", i+1).operators)
	}
	f.operators = client.New(client.Config{Managers: addresses, Key: secret})
	t.Cleanup(f.stopAll)
	f.ready()
	f.configure()
	return f
}

// addEndpoint serves an endpoint of service "orders" on a host of its own.
func (f *fleet) addEndpoint(name string) {
	server := endpoint.New(endpoint.Config{Name: name, Service: "orders", RunTime: 2 * time.Millisecond})
	port := httptest.NewServer(server.Handler())
	f.t.Cleanup(port.Close)
	f.endpoints = append(f.endpoints, server)
	f.listHost("host-"+name, "p", fmt.Sprintf(`{"service":"orders","address":%q,"slots":8,"connections":64}`,
		strings.TrimPrefix(port.URL, "http://")))
}

// listHost puts a live host into the platform's list.
func (f *fleet) listHost(name, pool, endpoints string) {
	f.put("/hosts/"+name, fmt.Sprintf(`{"data-centre":"dc-1","rack":%q,"pool":%q,"state":"live","endpoints":[%s]}`, name, pool, endpoints))
}

// unlistHost takes a host out of the platform's list.
func (f *fleet) unlistHost(name string) { f.call(http.MethodDelete, "/hosts/"+name, "") }

// faults sets the platform's faults.
func (f *fleet) faults(json string) { f.put("/faults", json) }

func (f *fleet) put(path, body string) { f.call(http.MethodPut, path, body) }

func (f *fleet) call(method, path, body string) {
	f.t.Helper()
	request, err := http.NewRequest(method, f.platform.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("%s %s: got %s, want success", method, path, answer.Status)
	}
}

func (f *fleet) write(name, text string) string {
	file := filepath.Join(f.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// givenPorts are those that have been given out: nothing listens there until the
// process that got one has started.
var givenPorts sync.Map

// freeAddress returns a loopback address that nothing listens on. Its port is
// below those that the system gives to outgoing connections, one of which could
// take it before the process listens.
func (f *fleet) freeAddress() netip.AddrPort {
	for range maxPortTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, isGiven := givenPorts.LoadOrStore(port, true); isGiven {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().(*net.TCPAddr).AddrPort()
		}
	}
	f.t.Fatal("free loopback port: got none")
	return netip.AddrPort{}
}

// start runs a process of the role; a second one of a name takes over its addresses.
func (f *fleet) start(role string, index int) *process {
	f.t.Helper()
	name := fmt.Sprintf("%s-%d", role, index)
	p := &process{name: name, host: "host-" + name, log: &bytes.Buffer{}, ended: make(chan error, 1)}
	if old := f.processes[name]; old != nil {
		p.callers, p.peers, p.operations, p.operators = old.callers, old.peers, old.operations, old.operators
	} else {
		p.callers, p.peers, p.operations, p.operators = f.freeAddress(), f.freeAddress(), f.freeAddress(), f.freeAddress()
	}
	file := filepath.Join(f.dir, "secret")
	args := []string{
		role, "-name", name, "-host", p.host, "-data-centre", fmt.Sprintf("dc-%d", index),
		"-peer-address", p.peers.String(), "-operations-address", p.operations.String(),
		"-platform-address", strings.TrimPrefix(f.platform.URL, "http://"), "-peer-secret-file", file,
		"-grace", "20s", "-balancer-delay", "300ms", "-list-lag", "1s", "-reboot-limit", "4s",
	}
	args = append(args, f.flags...)
	if role == "entry" {
		args = append(args, "-caller-address", p.callers.String())
	} else {
		args = append(args, "-operator-address", p.operators.String(), "-operator-key-file", file)
	}
	p.command = exec.Command(binary, args...)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { p.ended <- p.command.Wait() }()
	f.processes[name] = p
	return p
}

// signal sends a signal to a process.
func (f *fleet) signal(name string, sig syscall.Signal) {
	f.t.Helper()
	if err := f.processes[name].command.Process.Signal(sig); err != nil {
		f.t.Fatal(err)
	}
}

// kill ends a process at once, with what runs under it.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	<-f.processes[name].ended
}

// stop ends a process gracefully; it must exit with 0.
func (f *fleet) stop(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGTERM)
	p := f.processes[name]
	if err := <-p.ended; err != nil {
		f.t.Errorf("%s: got %v, want a clean stop\n%s", name, err, p.log)
	}
}

// stopAll ends what still runs, and shows the logs of a failed test.
func (f *fleet) stopAll() {
	for _, p := range f.processes {
		if p.command.ProcessState == nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.ended
		}
		if text := p.log.String(); strings.Contains(text, "DATA RACE") || f.t.Failed() {
			f.t.Errorf("log of %s:\n%s", p.name, text)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// eventually waits for a condition, with patience for a busy machine.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("%s: got no in %s, want yes", what, patience)
}

// ready waits until all processes are.
func (f *fleet) ready() {
	f.t.Helper()
	for _, p := range f.processes {
		f.eventually(p.name+" is ready", func() bool {
			answer, err := http.Get("http://" + p.operations.String() + "/readyz")
			if err != nil {
				return false
			}
			_ = answer.Body.Close()
			return answer.StatusCode == http.StatusOK
		})
	}
}

// configure applies a catalogue and gives team "tackle" a key.
func (f *fleet) configure() {
	f.t.Helper()
	f.apply(teamLimit)
	f.key = f.giveKey()
	for name := range f.processes {
		if strings.HasPrefix(name, "entry") {
			f.eventually(name+" holds permits", func() bool { return f.permits(name).Holding > 0 })
		}
	}
}

// apply declares the catalogue with that upper limit.
func (f *fleet) apply(limit int) {
	f.t.Helper()
	f.declare(catalogueOf(limit))
}

// applyQueue adds queue "plans", whose pool is "tasks", to the catalogue.
func (f *fleet) applyQueue() {
	f.t.Helper()
	catalogue := catalogueOf(teamLimit)
	catalogue.Entries = append(catalogue.Entries, api.Entry{
		Name: "plans", Kind: "queue", Team: "tackle", Class: "batch", MaxBody: 1 << 16,
		Deadline: api.Duration(5 * time.Second), LongestRun: api.Duration(longestRun),
		Availability: 0.99, Pool: "tasks",
	})
	f.declare(catalogue)
}

// shardHolder returns the manager that manages a pool's tasks.
func (f *fleet) shardHolder(pool string) string {
	f.t.Helper()
	var holder string
	f.eventually("shard "+pool+" has a holder", func() bool {
		for name, p := range f.processes {
			if strings.HasPrefix(name, "manager") && f.holds(p, pool) {
				holder = name
				return true
			}
		}
		return false
	})
	return holder
}

// holds reports whether a manager's dump shows the shard as its own.
func (f *fleet) holds(p *process, pool string) bool {
	var dump struct {
		Shards map[string]struct {
			Epoch uint64 `json:"epoch"`
		} `json:"shards"`
	}
	answer, err := http.Get("http://" + p.operations.String() + "/dump")
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	return json.NewDecoder(answer.Body).Decode(&dump) == nil && dump.Shards[pool].Epoch > 0
}

// catalogueOf returns the catalogue of team "tackle" with an upper limit.
func catalogueOf(limit int) api.Catalogue {
	return api.Catalogue{
		Teams: []api.Team{{Name: "tackle", UpperLimit: limit, Share: 1}},
		Entries: []api.Entry{{
			Name: "orders", Kind: "service", Team: "tackle", Class: "urgent", MaxBody: 1 << 20,
			Deadline: api.Duration(2 * time.Second), LongestRun: api.Duration(longestRun),
			Availability: 0.999, Pool: "p",
		}},
	}
}

// declare applies a catalogue and waits until it is in force everywhere.
func (f *fleet) declare(catalogue api.Catalogue) {
	f.t.Helper()
	f.eventually("catalogue is accepted", func() bool {
		answer, err := f.operators.Apply(context.Background(), api.ApplyRequest{Catalogue: catalogue})
		return err == nil && f.inForce(answer.Revision)
	})
}

func (f *fleet) giveKey() string {
	f.t.Helper()
	var key string
	f.eventually("key is given", func() bool {
		given, answer, err := f.operators.IssueKey(context.Background(), "tackle")
		key = given
		return err == nil && f.inForce(answer.Revision)
	})
	return key
}

func (f *fleet) inForce(revision uint64) bool {
	where, err := f.operators.Revision(context.Background(), revision, 5*time.Second)
	return err == nil && where.InForce
}

// permitState is a team's part of an entry's dump.
type permitState struct {
	Team    string `json:"team"`
	Holding int    `json:"holding"`
	InUse   int    `json:"in-use"`
}

// permits returns the permits of team "tackle" at an entry.
func (f *fleet) permits(name string) permitState {
	var dump struct {
		Node struct {
			Permits struct {
				Teams []permitState `json:"teams"`
			} `json:"permits"`
		} `json:"node"`
	}
	answer, err := http.Get("http://" + f.processes[name].operations.String() + "/dump")
	if err != nil {
		return permitState{}
	}
	defer func() { _ = answer.Body.Close() }()
	if json.NewDecoder(answer.Body).Decode(&dump) != nil || len(dump.Node.Permits.Teams) == 0 {
		return permitState{}
	}
	return dump.Node.Permits.Teams[0]
}

// held returns the permits that the named entries hold together.
func (f *fleet) held(names ...string) int {
	sum := 0
	for _, name := range names {
		sum += f.permits(name).Holding
	}
	return sum
}

// loadOn returns a load over the named entries, balanced by their readiness.
func (f *fleet) loadOn(names ...string) load.Config {
	config := load.Config{Service: "orders", Key: f.key, Deadline: 2 * time.Second, Concurrency: 24}
	for _, name := range names {
		config.Targets = append(config.Targets, f.processes[name].callers)
		config.Probes = append(config.Probes, f.processes[name].operations)
	}
	return config
}

// run runs a load to its end.
func (f *fleet) run(config load.Config) load.Report {
	f.t.Helper()
	report, err := load.Run(context.Background(), config)
	if err != nil {
		f.t.Fatal(err)
	}
	return report
}

// background runs a load until stop is called, which returns its report.
func (f *fleet) background(config load.Config) (stop func() load.Report) {
	ctx, cancel := context.WithCancel(context.Background())
	reports := make(chan load.Report, 1)
	config.Duration = time.Hour
	go func() {
		report, err := load.Run(ctx, config)
		if err != nil {
			f.t.Error(err)
		}
		reports <- report
	}()
	return func() load.Report {
		cancel()
		return <-reports
	}
}

// greatestRunning returns the most runs that were at the endpoints at one time.
func (f *fleet) greatestRunning() int {
	var intervals []interval
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			intervals = append(intervals, interval{run.Start, run.End})
		}
	}
	return overlap(intervals)
}

// runsPerKey returns how often each idempotency key ran.
func (f *fleet) runsPerKey() map[string]int {
	runs := make(map[string]int)
	for _, server := range f.endpoints {
		for _, key := range server.Stats().KeyRuns {
			runs[key.Key] += key.Runs
		}
	}
	return runs
}

// interval is the time of one run.
type interval struct{ start, end time.Time }

// overlap returns the largest number of intervals at one time.
func overlap(intervals []interval) int {
	greatest := 0
	for _, at := range intervals {
		running := 0
		for _, other := range intervals {
			if !other.start.After(at.start) && other.end.After(at.start) {
				running++
			}
		}
		greatest = max(greatest, running)
	}
	return greatest
}

// host returns a host as the managers know it.
func (f *fleet) host(name string) api.Host {
	hosts, err := f.operators.Hosts(context.Background())
	if err != nil {
		return api.Host{}
	}
	for _, host := range hosts {
		if host.Name == name {
			return host
		}
	}
	return api.Host{}
}

// hostPhase returns where a host's assignment stands.
func (f *fleet) hostPhase(name string) string { return f.host(name).Phase }

// poolHosts returns the hosts of a pool that serve endpoints.
func (f *fleet) poolHosts(pool string) []api.Host {
	hosts, err := f.operators.Hosts(context.Background())
	if err != nil {
		return nil
	}
	var serving []api.Host
	for _, host := range hosts {
		if host.Pool == pool && strings.HasPrefix(host.Name, "host-orders") {
			serving = append(serving, host)
		}
	}
	return serving
}

// waveVerdict returns how the wave of a pool stands.
func (f *fleet) waveVerdict(pool string) string {
	waves, err := f.operators.Waves(context.Background())
	if err != nil {
		return ""
	}
	for _, wave := range waves {
		if wave.Pool == pool {
			return wave.Verdict
		}
	}
	return ""
}

// hostsDown returns how many hosts the wave of a pool has begun with.
func (f *fleet) hostsDown(pool string) int {
	waves, err := f.operators.Waves(context.Background())
	if err != nil || len(waves) != 1 || waves[0].Pool != pool {
		return -1
	}
	return len(waves[0].Hosts)
}

// rowsUnder returns the run ids of the table's rows with a prefix.
func (f *fleet) rowsUnder(prefix string) map[string]bool {
	f.t.Helper()
	store := platformclient.New(platformclient.Config{
		Address: netip.MustParseAddrPort(strings.TrimPrefix(f.platform.URL, "http://")), Process: "test",
	})
	defer store.Close()
	rows, err := store.Scan(context.Background(), prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	ids := make(map[string]bool, len(rows))
	for _, row := range rows {
		ids[strings.TrimPrefix(row.Key, prefix)] = true
	}
	return ids
}

// runs returns the ids of the runs that the endpoints completed.
func (f *fleet) runs() map[string]bool {
	ids := make(map[string]bool)
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			ids[run.ID] = true
		}
	}
	return ids
}

// addWorker serves a worker on a host of its own in pool "tasks".
func (f *fleet) addWorker(name string) *worker.Server {
	server := worker.New(worker.Config{Name: name, Incarnation: "1", UsageLag: 100 * time.Millisecond})
	port := httptest.NewServer(server.Handler())
	f.t.Cleanup(port.Close)
	f.listHost(name, "tasks", fmt.Sprintf(`{"service":"worker","address":%q,"slots":16,"connections":64}`,
		strings.TrimPrefix(port.URL, "http://")))
	return server
}

// submit hands a task to queue "plans" through an entry, under a key, until it
// is taken.
func (f *fleet) submit(entry, key string) {
	f.t.Helper()
	f.eventually("task "+key+" is taken", func() bool {
		status, _ := f.ask(entry, http.MethodPost, "/plans/tasks", key, `{"cpus":1,"memory":1048576,"run-time":"500ms"}`)
		return status == http.StatusAccepted || status == http.StatusOK
	})
}

// ask sends one request through an entry.
func (f *fleet) ask(entry, method, path, key, body string) (status int, answer string) {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.processes[entry].callers.String()+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// taskRuns returns the runs of tasks that the workers completed.
func (f *fleet) taskRuns(workers []*worker.Server) []interval {
	var runs []interval
	for _, server := range workers {
		for _, run := range server.Stats().Runs {
			if !run.End.IsZero() {
				runs = append(runs, interval{run.Start, run.End})
			}
		}
	}
	return runs
}
