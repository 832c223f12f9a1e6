// Command lovagedyke keeps the work of many teams placed, admitted and
// answered within the limits of a catalogue.
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

// commands lists the commands in the order of the help.
var commands = []*Cmd{
	cmdEntry,
	cmdManager,
	cmdNode,
	cmdExplain,
	cmdCatalogue,
	cmdKey,
	cmdHost,
	cmdWave,
	cmdRoster,
	cmdCharge,
	cmdDump,
	cmdCheck,
	cmdVersion,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
	code := run(ctx, env, commands, os.Args[1:])
	stop()
	os.Exit(code)
}
