// Command lovagedyke manages fleet capacity: it admits, places and answers the
// work of many teams within the limits of a catalogue, and maintains the hosts.
//
// # Usage
//
//	lovagedyke <command> [flags] [arguments]
//
// "lovagedyke -h" lists the commands; man/ has a page for each.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// commands lists the commands in the order in which the help shows them.
var commands = []*Cmd{
	cmdEntry,
	cmdManager,
	cmdNode,
	cmdExplain,
	cmdCatalogue,
	cmdKey,
	cmdHost,
	cmdWave,
	cmdEvacuate,
	cmdRoster,
	cmdCharge,
	cmdDump,
	cmdCheck,
	cmdVersion,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	code := run(ctx, env, commands, os.Args[1:])
	stop()
	os.Exit(code)
}
