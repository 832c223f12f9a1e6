// Command lovagedyke runs the entries and managers of a deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"github.com/lovagedyke/lovagedyke/internal/logging"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

// Cmd is one command.
type Cmd struct {
	Name   string
	Desc   string
	Action func(ctx context.Context, args []string) error
}

var commands = []*Cmd{CmdEntry, CmdManager}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, cmd := range commands {
		if len(os.Args) > 1 && os.Args[1] == cmd.Name {
			if err := cmd.Action(ctx, os.Args[2:]); err != nil {
				fmt.Fprintln(os.Stderr, "lovagedyke:", err)
				os.Exit(1)
			}
			return
		}
	}
	os.Exit(2)
}

func loadSettings(args []string, role settings.Role) (settings.Config, error) {
	config, _, err := settings.Load(args, os.Getenv)
	if err != nil {
		return config, err
	}
	return config, config.Require(role)
}

func newLogger(config settings.Config) *log.Logger {
	return logging.New(logging.Config{Writer: os.Stderr, Format: config.LogFormat, Level: config.LogLevel, Fields: []any{"process", config.Name}})
}
