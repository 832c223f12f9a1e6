// Package test runs the real binaries on loopback and injects faults.
package test

import (
	"bytes"
	"cmp"
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
	secret           = "0123456789abcdef0123456789abcdef0123456789abcdef"
	conditionTimeout = 30 * time.Second
	listLag          = 500 * time.Millisecond
	longestRun       = 3 * time.Second
	teamLimit        = 12

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

// testFleet is a stand-in platform with endpoints, and entries and managers that
// run the real binary.
type testFleet struct {
	t         *testing.T
	dir       string
	platform  *httptest.Server
	endpoints []*endpoint.Server
	processes map[string]*process
	operators *client.Client
	key       string
	// flags are passed to every process in addition to its own.
	flags []string
	// program is the program of the processes; empty means binary.
	program string
}

// process is one run of the binary.
type process struct {
	name    string
	host    string
	command *exec.Cmd
	log     *bytes.Buffer
	ended   chan error
	// Listening addresses.
	callers, peers, operations, operators netip.AddrPort
}

// newFleet starts the platform, two endpoints of service "orders" and the given
// number of entries and managers. Team "tackle" has the upper limit teamLimit.
// Each option returns flags for every process.
func newFleet(t *testing.T, entries, managers int, options ...func(*testFleet) []string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dir: t.TempDir(), processes: make(map[string]*process)}
	f.platform = httptest.NewServer(platform.New(platform.Config{ListLag: listLag}).Handler())
	t.Cleanup(f.platform.Close)
	f.writeFile("secret", secret)
	for _, option := range options {
		f.flags = append(f.flags, option(f)...)
	}
	for i := range 2 {
		f.addEndpoint(fmt.Sprintf("orders-%d", i+1))
	}
	for i := range entries {
		f.registerHost(fmt.Sprintf("host-entry-%d", i+1), "entry", "")
		f.start("entry", i+1)
	}
	var addresses []netip.AddrPort
	for i := range managers {
		f.registerHost(fmt.Sprintf("host-manager-%d", i+1), "entry", "")
		addresses = append(addresses, f.start("manager", i+1).operators)
	}
	f.operators = client.New(client.Config{Managers: addresses, Key: secret})
	t.Cleanup(f.stopAll)
	f.awaitReady()
	f.configure()
	f.eventually("managers list the endpoints' hosts", func() bool { return len(f.poolHosts("p")) == len(f.endpoints) })
	return f
}

// addEndpoint starts an endpoint of service "orders" on its own host.
func (f *testFleet) addEndpoint(name string) { f.addEndpointIn(defaultDataCentre, name) }

// addEndpointIn starts an endpoint on its own host in the data centre.
func (f *testFleet) addEndpointIn(dataCentre, name string) {
	server := endpoint.New(endpoint.Config{Name: name, Service: "orders", RunTime: 2 * time.Millisecond})
	httpServer := httptest.NewServer(server.Handler())
	f.t.Cleanup(httpServer.Close)
	f.endpoints = append(f.endpoints, server)
	f.registerHostIn(dataCentre, "host-"+name, "p", fmt.Sprintf(`{"service":"orders","address":%q,"slots":8,"connections":64}`,
		strings.TrimPrefix(httpServer.URL, "http://")))
}

// registerHost adds a live host to the platform's host list.
func (f *testFleet) registerHost(name, pool, endpoints string) {
	f.registerHostIn(defaultDataCentre, name, pool, endpoints)
}

// defaultDataCentre is the data centre of hosts unless a test names another.
const defaultDataCentre = "dc-1"

// registerHostIn adds a live host of the data centre to the platform's host list.
func (f *testFleet) registerHostIn(dataCentre, name, pool, endpoints string) {
	f.putPlatform("/hosts/"+name, fmt.Sprintf(`{"data-centre":%q,"rack":%q,"pool":%q,"state":"live","endpoints":[%s]}`, dataCentre, name, pool, endpoints))
}

// deregisterHost removes a host from the platform's host list.
func (f *testFleet) deregisterHost(name string) {
	f.callPlatform(http.MethodDelete, "/hosts/"+name, "")
}

// injectFaults replaces the set of faults of the platform.
func (f *testFleet) injectFaults(json string) { f.putPlatform("/faults", json) }

func (f *testFleet) putPlatform(path, body string) { f.callPlatform(http.MethodPut, path, body) }

func (f *testFleet) callPlatform(method, path, body string) {
	f.t.Helper()
	request, err := http.NewRequest(method, f.platform.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("%s %s: got %s, want success", method, path, response.Status)
	}
}

func (f *testFleet) writeFile(name, text string) string {
	file := filepath.Join(f.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// allocatedPorts holds the ports that freeAddress has returned. Nothing may be
// listening on them yet, because their processes start later.
var allocatedPorts sync.Map

// freeAddress returns a loopback address that nothing listens on. Its port is
// below the ephemeral range: otherwise an outgoing connection could take it
// before the process listens.
func (f *testFleet) freeAddress() netip.AddrPort {
	for range maxPortTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, isAllocated := allocatedPorts.LoadOrStore(port, true); isAllocated {
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

// start runs a process of the role. A restarted process keeps its addresses.
func (f *testFleet) start(role string, index int) *process {
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
	p.command = exec.Command(cmp.Or(f.program, binary), args...)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { p.ended <- p.command.Wait() }()
	f.processes[name] = p
	return p
}

// signal sends a signal to a process.
func (f *testFleet) signal(name string, sig syscall.Signal) {
	f.t.Helper()
	if err := f.processes[name].command.Process.Signal(sig); err != nil {
		f.t.Fatal(err)
	}
}

// kill ends a process with SIGKILL and waits for its exit.
func (f *testFleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	<-f.processes[name].ended
}

// stop ends a process with SIGTERM and expects exit code 0.
func (f *testFleet) stop(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGTERM)
	p := f.processes[name]
	if err := <-p.ended; err != nil {
		f.t.Errorf("%s: got %v, want a clean stop\n%s", name, err, p.log)
	}
}

// stopAll kills the remaining processes. It prints the logs of a failed test, and
// fails the test if a log contains a data race.
func (f *testFleet) stopAll() {
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

// eventually waits for a condition and fails the test after conditionTimeout.
func (f *testFleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for until := time.Now().Add(conditionTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("%s: still false after %s", what, conditionTimeout)
}

// awaitReady waits until all processes are ready.
func (f *testFleet) awaitReady() {
	f.t.Helper()
	for _, p := range f.processes {
		f.eventually(p.name+" is ready", func() bool {
			response, err := http.Get("http://" + p.operations.String() + "/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
}

// configure applies a catalogue, issues a key to team "tackle" and waits until
// every entry holds permits.
func (f *testFleet) configure() {
	f.t.Helper()
	f.applyLimit(teamLimit)
	f.key = f.issueKey()
	for name := range f.processes {
		if strings.HasPrefix(name, "entry") {
			f.eventually(name+" holds permits", func() bool { return f.permits(name).Holding > 0 })
		}
	}
}

// applyLimit applies the catalogue with the given upper limit.
func (f *testFleet) applyLimit(limit int) {
	f.t.Helper()
	f.applyCatalogue(newCatalogue(limit))
}

// applyQueue adds queue "plans", whose pool is "tasks", to the catalogue.
func (f *testFleet) applyQueue() {
	f.t.Helper()
	catalogue := newCatalogue(teamLimit)
	catalogue.Entries = append(catalogue.Entries, api.Entry{
		Name: "plans", Kind: "queue", Team: "tackle", Class: "batch", MaxBody: 1 << 16,
		Deadline: api.Duration(5 * time.Second), LongestRun: api.Duration(longestRun),
		Availability: 0.99, Pool: "tasks",
	})
	f.applyCatalogue(catalogue)
}

// shardHolder returns the name of the manager that owns the shard of a pool.
func (f *testFleet) shardHolder(pool string) string {
	f.t.Helper()
	var holder string
	f.eventually("shard "+pool+" has a holder", func() bool {
		for name, p := range f.processes {
			if strings.HasPrefix(name, "manager") && f.isShardHolder(p, pool) {
				holder = name
				return true
			}
		}
		return false
	})
	return holder
}

// isShardHolder reports whether a manager's dump lists the shard as its own.
func (f *testFleet) isShardHolder(p *process, pool string) bool {
	var dump struct {
		Shards map[string]struct {
			Epoch uint64 `json:"epoch"`
		} `json:"shards"`
	}
	response, err := http.Get("http://" + p.operations.String() + "/dump")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(&dump) == nil && dump.Shards[pool].Epoch > 0
}

// newCatalogue returns a catalogue with service "orders" and team "tackle", which
// has the given upper limit.
func newCatalogue(limit int) api.Catalogue {
	return api.Catalogue{
		Teams: []api.Team{{Name: "tackle", UpperLimit: limit, Share: 1}},
		Entries: []api.Entry{{
			Name: "orders", Kind: "service", Team: "tackle", Class: "urgent", MaxBody: 1 << 20,
			Deadline: api.Duration(2 * time.Second), LongestRun: api.Duration(longestRun),
			Availability: 0.999, Pool: "p",
		}},
	}
}

// applyCatalogue applies a catalogue and waits until it is in force everywhere.
func (f *testFleet) applyCatalogue(catalogue api.Catalogue) {
	f.t.Helper()
	f.eventually("catalogue is accepted", func() bool {
		response, err := f.operators.Apply(context.Background(), api.ApplyRequest{Catalogue: catalogue})
		return err == nil && f.inForce(response.Revision)
	})
}

func (f *testFleet) issueKey() string {
	f.t.Helper()
	var key string
	f.eventually("key is issued", func() bool {
		issued, response, err := f.operators.IssueKey(context.Background(), "tackle")
		key = issued
		return err == nil && f.inForce(response.Revision)
	})
	return key
}

func (f *testFleet) inForce(revision uint64) bool {
	status, err := f.operators.Revision(context.Background(), revision, 5*time.Second)
	return err == nil && status.InForce
}

// permitState is the permits of a team in an entry's dump.
type permitState struct {
	Team    string `json:"team"`
	Holding int    `json:"holding"`
	InUse   int    `json:"in-use"`
}

// permits returns the permits of team "tackle" at an entry.
func (f *testFleet) permits(name string) permitState {
	var dump struct {
		Node struct {
			Permits struct {
				Teams []permitState `json:"teams"`
			} `json:"permits"`
		} `json:"node"`
	}
	response, err := http.Get("http://" + f.processes[name].operations.String() + "/dump")
	if err != nil {
		return permitState{}
	}
	defer func() { _ = response.Body.Close() }()
	if json.NewDecoder(response.Body).Decode(&dump) != nil || len(dump.Node.Permits.Teams) == 0 {
		return permitState{}
	}
	return dump.Node.Permits.Teams[0]
}

// heldPermits returns the total number of permits that the named processes hold.
func (f *testFleet) heldPermits(names ...string) int {
	sum := 0
	for _, name := range names {
		sum += f.permits(name).Holding
	}
	return sum
}

// loadConfig returns a load on the named entries that skips those that are not
// ready.
func (f *testFleet) loadConfig(names ...string) load.Config {
	config := load.Config{Service: "orders", Key: f.key, Deadline: 2 * time.Second, Concurrency: 24}
	for _, name := range names {
		config.Targets = append(config.Targets, f.processes[name].callers)
		config.ReadinessAddresses = append(config.ReadinessAddresses, f.processes[name].operations)
	}
	return config
}

// runLoad runs a load to its end.
func (f *testFleet) runLoad(config load.Config) load.Report {
	f.t.Helper()
	report, err := load.Run(context.Background(), config)
	if err != nil {
		f.t.Fatal(err)
	}
	return report
}

// startLoad runs a load in the background until stop is called, which returns its
// report.
func (f *testFleet) startLoad(config load.Config) (stop func() load.Report) {
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

// maxConcurrentRuns returns the maximum number of concurrent runs at the
// endpoints.
func (f *testFleet) maxConcurrentRuns() int {
	var intervals []interval
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			intervals = append(intervals, interval{run.Start, run.End})
		}
	}
	return maxOverlap(intervals)
}

// runsPerKey returns the number of runs per idempotency key.
func (f *testFleet) runsPerKey() map[string]int {
	runs := make(map[string]int)
	for _, server := range f.endpoints {
		for _, key := range server.Stats().KeyRuns {
			runs[key.Key] += key.Runs
		}
	}
	return runs
}

// interval is the start and end time of a run.
type interval struct{ start, end time.Time }

// maxOverlap returns the largest number of intervals that overlap at one time.
func maxOverlap(intervals []interval) int {
	result := 0
	for _, at := range intervals {
		running := 0
		for _, other := range intervals {
			if !other.start.After(at.start) && other.end.After(at.start) {
				running++
			}
		}
		result = max(result, running)
	}
	return result
}

// host returns a host as a manager reports it, or the zero value if unknown.
func (f *testFleet) host(name string) api.Host {
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

// hostPhase returns the phase of a host's assignment.
func (f *testFleet) hostPhase(name string) string { return f.host(name).Phase }

// poolHosts returns the hosts of a pool that serve endpoints.
func (f *testFleet) poolHosts(pool string) []api.Host {
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

// waveVerdict returns the verdict of a pool's wave.
func (f *testFleet) waveVerdict(pool string) string {
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

// startedHosts returns the number of hosts that a pool's wave has taken down so
// far, or -1 if there is no such wave.
func (f *testFleet) startedHosts(pool string) int {
	waves, err := f.operators.Waves(context.Background())
	if err != nil || len(waves) != 1 || waves[0].Pool != pool {
		return -1
	}
	return len(waves[0].Hosts)
}

// listRunIDs returns the run ids of the table's rows whose keys have the prefix.
func (f *testFleet) listRunIDs(prefix string) map[string]bool {
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

// completedRunIDs returns the ids of the runs that the endpoints completed.
func (f *testFleet) completedRunIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, server := range f.endpoints {
		for _, run := range server.Stats().Runs {
			ids[run.ID] = true
		}
	}
	return ids
}

// addWorker starts a worker on its own host in pool "tasks".
func (f *testFleet) addWorker(name string) *worker.Server {
	return f.addWorkerIn(defaultDataCentre, name)
}

// addWorkerIn starts a worker on its own host of the data centre.
func (f *testFleet) addWorkerIn(dataCentre, name string) *worker.Server {
	server := worker.New(worker.Config{Name: name, Incarnation: "1", UsageLag: 100 * time.Millisecond})
	httpServer := httptest.NewServer(server.Handler())
	f.t.Cleanup(httpServer.Close)
	f.registerHostIn(dataCentre, name, "tasks", fmt.Sprintf(`{"service":"worker","address":%q,"slots":16,"connections":64}`,
		strings.TrimPrefix(httpServer.URL, "http://")))
	return server
}

// submitTask submits a task to queue "plans" through an entry, with an
// idempotency key, until it is accepted.
func (f *testFleet) submitTask(entry, key string) {
	f.t.Helper()
	f.eventually("task "+key+" is accepted", func() bool {
		status, _ := f.sendRequest(entry, http.MethodPost, "/plans/tasks", key, `{"cpus":1,"memory":1048576,"run-time":"500ms"}`)
		return status == http.StatusAccepted || status == http.StatusOK
	})
}

// sendRequest sends one request through an entry. The status is 0 if there was no
// response.
func (f *testFleet) sendRequest(entry, method, path, key, body string) (status int, responseBody string) {
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
func (f *testFleet) taskRuns(workers []*worker.Server) []interval {
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
