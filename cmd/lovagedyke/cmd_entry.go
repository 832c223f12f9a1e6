package main

import (
	"context"

	"github.com/lovagedyke/lovagedyke/internal/logging"
	"github.com/lovagedyke/lovagedyke/internal/process"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

var cmdEntry = &Cmd{
	Name:   "entry",
	Args:   "[settings]",
	Desc:   "run an entry: accept callers' requests and forward them to endpoints",
	Action: entry,
}

func entry(ctx context.Context, env *Env, args []string) error {
	config, err := loadSettings(env, args, settings.RoleEntry)
	if err != nil {
		return err
	}
	return process.RunEntry(ctx, config, logging.New(logging.Config{
		Writer: env.Stderr, Format: config.LogFormat, Level: config.LogLevel,
		Fields: []any{"process", config.Name},
	}))
}

// loadSettings reads the settings of an entry or a manager.
func loadSettings(env *Env, args []string, role settings.Role) (settings.Config, error) {
	config, rest, err := settings.Load(args, env.Getenv)
	if err == nil {
		err = config.Require(role)
	}
	if err != nil {
		return config, usageError{err}
	}
	if len(rest) > 0 {
		return config, usagef("unexpected argument %q, want flags only", rest[0])
	}
	return config, nil
}
