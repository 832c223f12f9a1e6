package test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// entryMemory and entryConnections are the settings of these tests, and entryBound and
	// entryDescriptors the bounds of an entry with them, in MiB and descriptors: its memory for
	// clients and as much again for garbage, beside 80 MiB; and its callers' connections beside
	// those that it needs itself.
	entryMemory, entryConnections = 24, 100
	entryBound, entryDescriptors  = 128, 200
)

// sendEntryBody sends a body to an entry, but for its last byte.
func sendEntryBody(key string, size int, header string) func(net.Conn, int, int) error {
	body := []byte(strings.Repeat("x", size-1))
	return func(conn net.Conn, client, round int) error {
		head := fmt.Appendf(nil, "POST /orders/ HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", key, size)
		if header != "" {
			head = fmt.Appendf(head, "%s: %d-%d\r\n", header, client, round)
		}
		return writeAll(conn, append(head, "\r\n"...), body)
	}
}

// Guards against callers of an entry that make it run out of memory or descriptors.
func TestEntryCrowds(t *testing.T) {
	t.Setenv("LOVAGEDYKE_CLIENT_MEMORY", fmt.Sprintf("%dMiB", entryMemory))
	t.Setenv("LOVAGEDYKE_MAX_CONNECTIONS", fmt.Sprint(entryConnections))
	program := buildCrowdBinary(t)
	tests := map[string]func(key string) crowd{
		"idempotent bodies, one byte short": func(key string) crowd {
			return crowd{send: sendEntryBody(key, 1<<20, "Idempotency-Key"), size: 90}
		},
		"idle connections": func(string) crowd { return crowd{send: sendNothing, size: 300} },
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 1, func(f *testFleet) []string {
				f.program = program
				return nil
			})
			p := f.processes["entry-1"]
			g := newGauge(p.command.Process.Pid, p.callers, p.peers, p.operations)
			defer g.stop()
			ctx, cancel := context.WithTimeout(context.Background(), 2*crowdTimeout)
			defer cancel()
			wait := test(f.key).withDefaults().run(ctx, p.callers)
			f.awaitServed(p, "beside the crowd")
			cancel()
			wait()
			f.awaitServed(p, "after the crowd")
			g.check(t, entryBound, entryDescriptors)
		})
	}
}

// awaitServed calls an entry until it serves a request.
func (f *testFleet) awaitServed(p *process, when string) {
	f.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	f.eventually("an ordinary request is served "+when, func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+p.callers.String()+"/orders/", strings.NewReader("text"))
		if err != nil {
			f.t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+f.key)
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
