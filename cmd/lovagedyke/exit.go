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

// Exit codes, documented in man/lovagedyke.md.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotInForce  = 4
	exitUnavailable = 5
)

// errNotInForce means that a change was accepted but was not in force on every
// process before the -wait time was over.
var errNotInForce = errors.New("timed out before the change was in force everywhere")

// usageError is an invalid command line; it exits with exitUsage.
type usageError struct {
	err error
}

// Error implements error.
func (e usageError) Error() string {
	return e.err.Error()
}

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error {
	return e.err
}

func usagef(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

// reportedError sets the exit code of a command that has printed its errors itself.
type reportedError struct {
	code int
}

// Error implements error.
func (e reportedError) Error() string {
	return fmt.Sprintf("exit code %d", e.code)
}

// report prints the error, if any, and returns the exit code.
func report(env *Env, err error) int {
	var reported reportedError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &reported):
		return reported.code
	}
	env.printError(err.Error())
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	var problem *api.Problem
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.Is(err, client.ErrUnavailable):
		return exitUnavailable
	case !errors.As(err, &problem):
		return exitFailed
	}
	switch problem.Status {
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

// printError prints an error message to Stderr.
func (e *Env) printError(text string) {
	e.printMessage(colourRed, text)
}

// printInfo prints a status message to Stderr. Results go to Stdout.
func (e *Env) printInfo(format string, args ...any) {
	e.printMessage(colourGreen, fmt.Sprintf(format, args...))
}

func (e *Env) printMessage(colour, text string) {
	prefix := programName + ":"
	if e.useColour() {
		prefix = colour + prefix + colourReset
	}
	fmt.Fprintln(e.Stderr, prefix, text)
}

// useColour reports whether Stderr is a terminal and NO_COLOR is not set.
func (e *Env) useColour() bool {
	file, ok := e.Stderr.(*os.File)
	if !ok || e.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
