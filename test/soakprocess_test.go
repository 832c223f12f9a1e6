package test

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time between the end of a process and its restart, and longRestartDelay that in soaks
// with recuts: longer than others take to lead in its place.
const restartDelay, longRestartDelay = 700 * time.Millisecond, 3 * time.Second

// soakProcess runs a node and restarts it whenever it ends.
type soakProcess struct {
	binary, settings, log string
	restartDelay          time.Duration

	mu      sync.Mutex
	command *exec.Cmd
}

// Supervise runs the node until ctx ends, and then kills it.
func (p *soakProcess) Supervise(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.runOnce(ctx); err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.restartDelay):
		}
	}
}

// runOnce starts the node and waits for its end. A failed exit is not an error.
func (p *soakProcess) runOnce(ctx context.Context) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(p.binary, "node")
	command.Env = append(os.Environ(), "LOVAGEDYKE_CONFIG="+p.settings)
	command.Stdout, command.Stderr = out, out
	p.mu.Lock()
	err = command.Start()
	p.command = command
	p.mu.Unlock()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { p.Signal(syscall.SIGKILL) })
	defer stop()
	// Nodes are killed on purpose; the reason for an unexpected exit is in the log.
	_ = command.Wait()
	return nil
}

// Signal sends a signal to the node, if it runs.
func (p *soakProcess) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		// Signal fails if the process has ended already, which is fine.
		_ = p.command.Process.Signal(signal)
	}
}
