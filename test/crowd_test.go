package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/platform/standin"
)

const (
	// crowdMemory and crowdDescriptors are the limits of a node in these tests, in MiB and
	// descriptors, unless a test sets fewer descriptors.
	crowdMemory, crowdDescriptors = 128, 1000
	// fewDescriptors is a limit below the number of a crowd's connections.
	fewDescriptors = 500
	// crowdSize is the number of a crowd's connections, and crowdRounds how often each opens one
	// if it is closed.
	crowdSize, crowdRounds = 600, 2
	// largestBody is the limit of a body by the stand-in's configuration.
	largestBody = 262_144
	// crowdTimeout ends what a crowd does if a node neither takes bytes nor closes connections.
	crowdTimeout = 20 * time.Second
	// settleDelay is how long a connection stays open after the client has sent, until the client
	// counts as holding it.
	settleDelay = 300 * time.Millisecond
	// callerHead begins the requests of callers; the key is that of the stand-in's configuration.
	callerHead = "Host: shop.example\r\nAuthorization: Bearer k-demo\r\nContent-Type: application/json\r\n"
)

// crowdNode is a node with a stand-in platform, and what it has used at most.
type crowdNode struct {
	t                              *testing.T
	platform                       *standin.Platform
	callers, ready, peers, metrics netip.AddrPort
	memory, descriptors            int
	command                        *exec.Cmd
	ended                          chan struct{}
	log                            string

	*gauge
}

// newCrowdNode starts a node with limits and waits until it has accepted a job.
func newCrowdNode(t *testing.T, binary string, memory, descriptors int) *crowdNode {
	t.Helper()
	platform, err := standin.New(standin.Config{Hosts: 1, TaskTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	platform.WritePolicy(1)
	f := &testFleet{t: t}
	n := &crowdNode{
		t: t, platform: platform, callers: f.freeAddress(), ready: f.freeAddress(), peers: f.freeAddress(), metrics: f.freeAddress(),
		memory: memory, descriptors: descriptors, ended: make(chan struct{}),
	}
	dir := t.TempDir()
	n.log = filepath.Join(dir, "log")
	n.start(binary, n.writeSettings(dir))
	n.awaitAnswer("a job in calm")
	n.gauge = newGauge(n.command.Process.Pid, n.callers, n.ready, n.peers, n.metrics)
	t.Cleanup(n.stop)
	return n
}

// writeSettings writes the settings file with the lowered limits.
func (n *crowdNode) writeSettings(dir string) string {
	var settings map[string]any
	if err := json.Unmarshal(n.platform.Settings("node-1", n.callers, n.ready, n.peers), &settings); err != nil {
		n.t.Fatal(err)
	}
	limits := settings["limits"].(map[string]any)
	limits["memory_mb"], limits["max_fds"] = n.memory, n.descriptors
	text, err := json.Marshal(settings)
	if err != nil {
		n.t.Fatal(err)
	}
	file := filepath.Join(dir, "node.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		n.t.Fatal(err)
	}
	return file
}

// start starts the process, which nothing restarts.
func (n *crowdNode) start(binary, settings string) {
	n.t.Helper()
	out, err := os.Create(n.log)
	if err != nil {
		n.t.Fatal(err)
	}
	n.command = exec.Command(binary, "node", "-metrics-port", strconv.Itoa(int(n.metrics.Port())))
	n.command.Env = append(os.Environ(), "LOVAGEDYKE_CONFIG="+settings)
	n.command.Stdout, n.command.Stderr = out, out
	if err := n.command.Start(); err != nil {
		n.t.Fatal(err)
	}
	go func() {
		_ = n.command.Wait()
		_ = out.Close()
		close(n.ended)
	}()
}

// stop ends the process, and prints the end of its log if the test has failed.
func (n *crowdNode) stop() {
	n.gauge.stop()
	_ = n.command.Process.Kill()
	<-n.ended
	if text, err := os.ReadFile(n.log); err == nil && n.t.Failed() {
		n.t.Logf("end of the node's log:\n%s", text[max(0, len(text)-4000):])
	}
}

// awaitAnswer submits a job until it is accepted, as an ordinary caller does.
func (n *crowdNode) awaitAnswer(what string) {
	n.t.Helper()
	id, status := fmt.Sprintf("%016x", time.Now().UnixNano()), 0
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		status = n.platform.Submit(ctx, n.callers, id, 1, 1)
		cancel()
		if status == http.StatusOK {
			return
		}
	}
	n.t.Errorf("status of %s: got %d, want 200", what, status)
}

// check fails the test unless the process lives and has stayed within its limits.
func (n *crowdNode) check() {
	n.t.Helper()
	select {
	case <-n.ended:
		n.t.Errorf("the process: got its end, want it alive")
	default:
	}
	n.gauge.check(n.t, n.memory, n.descriptors)
}

// crowd is a number of clients that misbehave in the same way.
type crowd struct {
	// size and rounds are crowdSize and crowdRounds if they are zero.
	size, rounds int
	// door returns the address that the clients connect to.
	door func(n *crowdNode) netip.AddrPort
	// send sends what the client has to send on a new connection.
	send func(conn net.Conn, client, round int) error
	// isDeaf is set for clients that read no answers.
	isDeaf bool
	// descriptors is crowdDescriptors if it is zero.
	descriptors int
}

// run runs the clients until ctx ends. It returns once each holds a connection on which it has
// sent all, or has had all of its connections closed; clients that are left end with ctx.
func (c crowd) run(ctx context.Context, address netip.AddrPort) (wait func()) {
	var settled, ended sync.WaitGroup
	for client := range c.size {
		settled.Add(1)
		ended.Go(func() {
			settle := sync.OnceFunc(settled.Done)
			defer settle()
			for round := range c.rounds {
				if ctx.Err() != nil {
					return
				}
				c.hold(ctx, address, client, round, settle)
			}
		})
	}
	settled.Wait()
	return ended.Wait
}

// hold opens a connection, sends, and keeps it open until the node closes it.
func (c crowd) hold(ctx context.Context, address netip.AddrPort, client, round int, settle func()) {
	conn, err := net.DialTimeout("tcp", address.String(), crowdTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
	if c.send(conn, client, round) != nil {
		return
	}
	timer := time.AfterFunc(settleDelay, settle)
	defer timer.Stop()
	if c.isDeaf {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

func callersDoor(n *crowdNode) netip.AddrPort { return n.callers }

// writeAll writes texts one after the other.
func writeAll(conn net.Conn, texts ...[]byte) error {
	for _, text := range texts {
		if _, err := conn.Write(text); err != nil {
			return err
		}
	}
	return nil
}

// submitHead returns the head of a submission, with a line that describes its body.
func submitHead(client, round int, line string) []byte {
	return fmt.Appendf(nil, "POST /jobs/%08x%08x HTTP/1.1\r\n%s%s\r\n\r\n", client+1, round+1, callerHead, line)
}

// paddedJob returns a job of a size in bytes.
func paddedJob(size int) []byte {
	text := `{"spec":"demo","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":1}]`
	return []byte(text + strings.Repeat(" ", size-len(text)-1) + "}")
}

// chunked returns a body in chunks of a size, without the last chunk.
func chunked(body []byte, size int) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out.Bytes()
}

// sendShort sends a body with a length, but for its last byte, in pieces.
func sendShort(body []byte, piece int, pause time.Duration) func(net.Conn, int, int) error {
	return func(conn net.Conn, client, round int) error {
		if err := writeAll(conn, submitHead(client, round, fmt.Sprintf("Content-Length: %d", len(body)))); err != nil {
			return err
		}
		for rest := body[:len(body)-1]; len(rest) > 0; time.Sleep(pause) {
			n := min(piece, len(rest))
			if err := writeAll(conn, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		return nil
	}
}

// sendChunks sends a chunked body without its last chunk.
func sendChunks(body []byte, size int) func(net.Conn, int, int) error {
	chunks := chunked(body, size)
	return func(conn net.Conn, client, round int) error {
		return writeAll(conn, submitHead(client, round, "Transfer-Encoding: chunked"), chunks)
	}
}

// sendWhole sends a whole request and awaits the answer before the next one.
func sendWhole(body []byte) func(net.Conn, int, int) error {
	return func(conn net.Conn, client, round int) error {
		if err := writeAll(conn, submitHead(client, round, fmt.Sprintf("Content-Length: %d\r\nConnection: close", len(body))), body); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, conn)
		return err
	}
}

// sendNothing opens a connection and leaves it idle.
func sendNothing(net.Conn, int, int) error { return nil }

// sendOneRequest leaves a connection idle after one request.
func sendOneRequest(conn net.Conn, _, _ int) error {
	if err := writeAll(conn, []byte("GET /jobs/ HTTP/1.1\r\n"+callerHead+"\r\n")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// sendHeaderLines sends a header of many short lines that stops short of its end.
func sendHeaderLines(conn net.Conn, _, _ int) error {
	if err := writeAll(conn, []byte("GET /jobs/ HTTP/1.1\r\n"+callerHead)); err != nil {
		return err
	}
	for n := range 12 {
		var lines bytes.Buffer
		for line := range 150 {
			fmt.Fprintf(&lines, "x%x:\r\n", n*150+line)
		}
		if err := writeAll(conn, lines.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// sendPipelined sends many requests at once.
func sendPipelined(conn net.Conn, _, _ int) error {
	return writeAll(conn, bytes.Repeat([]byte("GET /jobs/ HTTP/1.1\r\n"+callerHead+"\r\n"), 100))
}

// sendPeerMessage sends a message for peers but for its last byte.
func sendPeerMessage(body []byte) func(net.Conn, int, int) error {
	return func(conn net.Conn, _, _ int) error {
		head := fmt.Appendf(nil, "POST /twirp/lovagedyke.member.Member/Accept HTTP/1.1\r\nHost: peer\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(body))
		return writeAll(conn, head, body[:len(body)-1])
	}
}

// crowds are the crowds by name. Their bodies are of legal size.
func crowds() map[string]crowd {
	large := paddedJob(largestBody)
	manySteps := []byte(`{"steps":[0` + strings.Repeat(",0", (largestBody-13)/2) + `]}`)
	return map[string]crowd{
		"length, one byte short":          {send: sendShort(large, len(large), 0)},
		"length, in pieces":               {send: sendShort(large, 8<<10, 20*time.Millisecond)},
		"large chunks, no end":            {send: sendChunks(large, 64<<10)},
		"small chunks, no end":            {send: sendChunks(large[:128<<10], 16)},
		"small bodies, one byte short":    {send: sendShort(paddedJob(4<<10), 4<<10, 0), descriptors: fewDescriptors},
		"whole bodies":                    {send: sendWhole(large), size: 200},
		"bodies of many steps":            {send: sendWhole(manySteps), size: 12, rounds: 3},
		"idle connections":                {send: sendNothing, descriptors: fewDescriptors},
		"idle after a request":            {send: sendOneRequest, descriptors: fewDescriptors},
		"headers of many lines, no end":   {send: sendHeaderLines},
		"answers that are not read":       {send: sendPipelined, isDeaf: true, descriptors: fewDescriptors},
		"ready port, idle connections":    {send: sendNothing, door: func(n *crowdNode) netip.AddrPort { return n.ready }, descriptors: fewDescriptors},
		"metrics port, idle connections":  {send: sendNothing, door: func(n *crowdNode) netip.AddrPort { return n.metrics }, descriptors: fewDescriptors},
		"peer port, idle connections":     {send: sendNothing, door: func(n *crowdNode) netip.AddrPort { return n.peers }, descriptors: fewDescriptors},
		"peer port, messages with no end": {send: sendPeerMessage(make([]byte, 4<<20)), size: 60, door: func(n *crowdNode) netip.AddrPort { return n.peers }},
		"unknown key, length, no last byte": {send: func(conn net.Conn, client, round int) error {
			head := bytes.Replace(submitHead(client, round, fmt.Sprintf("Content-Length: %d", len(large))), []byte("k-demo"), []byte("k-none"), 1)
			return writeAll(conn, head, large[:len(large)-1])
		}},
	}
}

// buildCrowdBinary builds the program without the race detector, whose memory isn't the product's.
func buildCrowdBinary(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "lovagedyke")
	if out, err := exec.Command("go", "build", "-o", file, "../cmd/lovagedyke").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return file
}

// Guards against clients that make a process run out of memory or descriptors: many at once
// stop short of the end of what they send, or keep connections open.
func TestCrowds(t *testing.T) {
	binary := buildCrowdBinary(t)
	for name, c := range crowds() {
		t.Run(name, func(t *testing.T) {
			c := c.withDefaults()
			n := newCrowdNode(t, binary, crowdMemory, c.descriptors)
			ctx, cancel := context.WithTimeout(context.Background(), 2*crowdTimeout)
			defer cancel()
			wait := c.run(ctx, c.door(n))
			n.awaitAnswer("an ordinary job beside the crowd")
			cancel()
			wait()
			n.awaitAnswer("an ordinary job after the crowd")
			n.check()
		})
	}
}

// withDefaults returns c with zero values replaced by the defaults.
func (c crowd) withDefaults() crowd {
	if c.size == 0 {
		c.size = crowdSize
	}
	if c.rounds == 0 {
		c.rounds = crowdRounds
	}
	if c.door == nil {
		c.door = callersDoor
	}
	if c.descriptors == 0 {
		c.descriptors = crowdDescriptors
	}
	return c
}

// Guards against a limit on memory that refuses a single request within the limits: the
// largest body is accepted, whole, in chunks, in pieces, and after an interim response.
func TestLargestBodyInCalm(t *testing.T) {
	n := newCrowdNode(t, buildCrowdBinary(t), crowdMemory, crowdDescriptors)
	body := paddedJob(largestBody)
	tests := map[string]struct {
		line string
		body [][]byte
	}{
		"whole":    {fmt.Sprintf("Content-Length: %d", len(body)), [][]byte{body}},
		"chunks":   {"Transfer-Encoding: chunked", [][]byte{chunked(body, 64<<10), []byte("0\r\n\r\n")}},
		"pieces":   {fmt.Sprintf("Content-Length: %d", len(body)), [][]byte{body[:100], body[100:100_000], body[100_000:]}},
		"expected": {fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue", len(body)), [][]byte{body}},
	}
	client := 0
	for name, test := range tests {
		client++
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", n.callers.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := writeAll(conn, append([][]byte{submitHead(client, 0, test.line+"\r\nConnection: close")}, test.body...)...); err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(conn)
			answer = bytes.TrimPrefix(answer, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
			if got, _, _ := bytes.Cut(answer, []byte("\r\n")); string(got) != "HTTP/1.1 200 OK" {
				t.Errorf("answer: got %q, want 200", got)
			}
		})
	}
}
