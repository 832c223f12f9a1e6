// Command lovagedyke-experiment compares the policies with their baselines in
// virtual time.
package main

import (
	"context"
	"fmt"
	"os"
)

func main() {
	if err := newRootCommand(os.Stdout).ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "lovagedyke-experiment: %v\n", err)
		os.Exit(1)
	}
}
