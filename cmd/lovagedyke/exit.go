package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

// Exit codes, which man/lovagedyke.md documents.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotInForce  = 4
	exitUnavailable = 5
)

// errNotInForce means that a change is accepted and not yet in force everywhere.
var errNotInForce = errors.New("not in force everywhere in time")

// usageError is a mistake in the command line.
type usageError struct {
	err error
}

// Error implements error.
func (e usageError) Error() string {
	return e.err.Error()
}

// Unwrap returns the mistake.
func (e usageError) Unwrap() error {
	return e.err
}

func usagef(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

// report prints the error, if any, and returns the exit code.
func report(env *Env, err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	env.fail(err.Error())
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	var refused *api.Problem
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.Is(err, client.ErrUnavailable):
		return exitUnavailable
	case !errors.As(err, &refused):
		return exitFailed
	}
	switch refused.Status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusServiceUnavailable:
		return exitUnavailable
	}
	return exitFailed
}

const (
	colourRed   = "\x1b[31m"
	colourGreen = "\x1b[32m"
	colourReset = "\x1b[0m"
)

// fail prints a message about an error.
func (e *Env) fail(text string) {
	e.message(colourRed, text)
}

// say prints a message for the operator; results go to Stdout instead.
func (e *Env) say(format string, args ...any) {
	e.message(colourGreen, fmt.Sprintf(format, args...))
}

func (e *Env) message(colour, text string) {
	prefix := programName + ":"
	if e.coloured() {
		prefix = colour + prefix + colourReset
	}
	fmt.Fprintln(e.Stderr, prefix, text)
}

// coloured reports whether Stderr is a terminal whose user wants colours.
func (e *Env) coloured() bool {
	file, ok := e.Stderr.(*os.File)
	if !ok || e.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
