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

// Env is what a command knows of the world around it.
type Env struct {
	Stdout, Stderr io.Writer
	Getenv         func(name string) string
}

// Action runs a command. Its error is printed and sets the exit code.
type Action func(ctx context.Context, env *Env, args []string) error

// Cmd is a command. It has one of Setup, Action and Subcommands.
type Cmd struct {
	Name string
	// Args shows the arguments in the help.
	Args string
	// Desc tells in one line what the command does.
	Desc string
	// Setup declares the command's flags and returns its action.
	Setup func(flags *flag.FlagSet, env *Env) Action
	// Action takes all arguments, flags among them.
	Action      Action
	Subcommands []*Cmd
}

// command builds the ffcli command.
func (c *Cmd) command(env *Env, parents string) *ffcli.Command {
	path := strings.TrimSpace(parents + " " + c.Name)
	flags := flag.NewFlagSet(path, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	out := &ffcli.Command{
		Name:       c.Name,
		ShortUsage: strings.TrimSpace(path + " " + c.Args),
		ShortHelp:  c.Desc,
		FlagSet:    flags,
	}
	for _, sub := range c.Subcommands {
		out.Subcommands = append(out.Subcommands, sub.command(env, path))
	}
	if c.Action != nil {
		out.Exec = func(ctx context.Context, args []string) error { return c.Action(ctx, env, args) }
	}
	if c.Setup != nil {
		action := c.Setup(flags, env)
		out.Exec = func(ctx context.Context, args []string) error { return action(ctx, env, args) }
	}
	return out
}

// run runs the command that args name and returns the exit code.
func run(ctx context.Context, env *Env, commands []*Cmd, args []string) int {
	if len(args) > 0 {
		for _, c := range commands {
			if c.Action != nil && c.Name == args[0] {
				return report(env, c.Action(ctx, env, args[1:]))
			}
		}
	}
	root := &Cmd{Name: programName, Args: "<command> [flags] [arguments]", Subcommands: commands}
	tree := root.command(env, "")
	err := tree.Parse(args)
	if err == nil {
		return report(env, tree.Run(ctx))
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
