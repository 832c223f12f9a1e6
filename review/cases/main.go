//go:build review

// Command cases runs one of the review's cases against the project's nodes.
//
// # Usage
//
//	target/review/cases lasting-job review/1
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lovagedyke/lovagedyke/review/harness"
)

// verdict is what a case has found.
type verdict struct {
	isBroken bool
	text     string
}

func held(format string, args ...any) verdict { return verdict{text: fmt.Sprintf(format, args...)} }

func broken(format string, args ...any) verdict {
	return verdict{isBroken: true, text: fmt.Sprintf(format, args...)}
}

// errSetup says that a case could not run.
var errSetup = errors.New("the case could not be set up")

// scenario is a case: what it needs, and what it does.
type scenario struct {
	config harness.Config
	run    func(p *harness.Platform, isTrouble bool) (verdict, error)
}

// scenarios holds the cases by name. Each file adds its own.
var scenarios = map[string]scenario{}

// maxRun ends a run that hangs.
const maxRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	chosen, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "cases: there is no case %q\n", name)
		return 2
	}
	chosen.config.Folder = folder
	p, err := harness.New(chosen.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		return 2
	}
	defer p.Close()
	outcome := make(chan int, 1)
	go func() { outcome <- play(p, chosen) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-outcome:
		return code
	case <-stopped:
		p.Note("could not run: it was stopped")
		return 2
	case <-time.After(maxRun):
		p.Note("could not run: it took too long")
		return 2
	}
}

// play runs a scenario and reports its result.
func play(p *harness.Platform, chosen scenario) int {
	isTrouble := os.Getenv("TROUBLE") != "0"
	p.Note("disruption: %t", isTrouble)
	err := p.StartNodes()
	var found verdict
	if err == nil {
		found, err = chosen.run(p, isTrouble)
	}
	if err != nil {
		p.Note("could not run: %s", err)
		fmt.Println("could not run:", err)
		return 2
	}
	p.Note("rule broken: %t; %s", found.isBroken, found.text)
	fmt.Printf("rule broken: %t; %s\n", found.isBroken, found.text)
	if found.isBroken {
		return 1
	}
	return 0
}
