package main

import (
	"context"
	"flag"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const programName = "lovagedyke"

// Env is the environment that a command runs in.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(name string) string
}

// Action runs a command. A returned error is printed and sets the exit code.
type Action func(ctx context.Context, env *Env, args []string) error

// Cmd is a command. Exactly one of Setup, Action and Subcommands is set.
type Cmd struct {
	Name string
	// Args is the argument synopsis shown in the help.
	Args string
	// Desc is the one-line summary shown in the help.
	Desc string
	// Setup declares the command's flags and returns its action.
	Setup func(flags *flag.FlagSet, env *Env) Action
	// Action receives all arguments, flags included.
	Action      Action
	Subcommands []*Cmd
}

// command builds the ffcli command of c and its subcommands.
func (c *Cmd) command(env *Env, parents string) *ffcli.Command {
	path := strings.TrimSpace(parents + " " + c.Name)
	flags := flag.NewFlagSet(path, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	built := &ffcli.Command{
		Name:       c.Name,
		ShortUsage: strings.TrimSpace(path + " " + c.Args),
		ShortHelp:  c.Desc,
		FlagSet:    flags,
	}
	for _, sub := range c.Subcommands {
		built.Subcommands = append(built.Subcommands, sub.command(env, path))
	}
	if c.Action != nil {
		built.Exec = func(ctx context.Context, args []string) error { return c.Action(ctx, env, args) }
	}
	if c.Setup != nil {
		action := c.Setup(flags, env)
		built.Exec = func(ctx context.Context, args []string) error { return action(ctx, env, args) }
	}
	return built
}

// run executes the command named by args and returns the exit code.
func run(ctx context.Context, env *Env, commands []*Cmd, args []string) int {
	if len(args) > 0 {
		for _, c := range commands {
			if c.Action != nil && c.Name == args[0] {
				return report(env, c.Action(ctx, env, args[1:]))
			}
		}
	}
	rootCmd := &Cmd{Name: programName, Args: "<command> [flags] [arguments]", Subcommands: commands}
	root := rootCmd.command(env, "")
	err := root.Parse(args)
	if err == nil {
		return report(env, root.Run(ctx))
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	var noExec ffcli.NoExecError
	if errors.As(err, &noExec) {
		noExec.Command.FlagSet.Usage()
		err = errors.New("a command is missing or unknown")
	}
	return report(env, usageError{err})
}
