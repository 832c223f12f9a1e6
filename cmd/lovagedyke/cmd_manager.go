package main

import (
	"context"

	"github.com/lovagedyke/lovagedyke/internal/logging"
	"github.com/lovagedyke/lovagedyke/internal/process"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

var cmdManager = &Cmd{
	Name:   "manager",
	Args:   "[settings]",
	Desc:   "run a manager: apply operators' changes and manage pools, permits and membership",
	Action: manager,
}

func manager(ctx context.Context, env *Env, args []string) error {
	config, err := loadSettings(env, args, settings.RoleManager)
	if err != nil {
		return err
	}
	return process.RunManager(ctx, config, logging.New(logging.Config{
		Writer: env.Stderr, Format: config.LogFormat, Level: config.LogLevel,
		Fields: []any{"process", config.Name},
	}))
}
