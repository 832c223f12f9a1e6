//go:build review

// Command review-cases-2 plays the scripted cases of the second review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	harness "github.com/lovagedyke/lovagedyke/review/harness-2"
)

// cases holds the cases by name. Each returns the script's exit status.
var cases = map[string]func(options) int{}

// options are what a script passes.
type options struct {
	program, folder, record string
	trouble                 bool
	seed                    int64
}

// timeLimit bounds a case, whose script may take 120 s.
const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) < 5 {
		fmt.Fprintln(os.Stderr, "usage: review-cases-2 CASE PROGRAM FOLDER RECORD")
		os.Exit(couldNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNotRun)
	}
	o := options{program: os.Args[2], folder: os.Args[3], record: os.Args[4], trouble: os.Getenv("TROUBLE") != "0"}
	_, _ = fmt.Sscan(os.Getenv("SEED"), &o.seed)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	done := make(chan int, 1)
	go func() { done <- play(o) }()
	select {
	case status := <-done:
		os.Exit(status)
	case <-stopped:
	case <-time.After(timeLimit):
		fmt.Println("the case took too long")
	}
	harness.KillAll()
	os.Exit(couldNotRun)
}
