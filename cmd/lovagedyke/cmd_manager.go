package main

import (
	"context"

	"github.com/lovagedyke/lovagedyke/internal/process"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

// CmdManager runs the operators' side.
var CmdManager = &Cmd{
	Name:   "manager",
	Desc:   "take operators' changes and keep pools, permits and members",
	Action: cmdManagerAction,
}

func cmdManagerAction(ctx context.Context, args []string) error {
	config, err := loadSettings(args, settings.RoleManager)
	if err != nil {
		return err
	}
	return process.RunManager(ctx, config, newLogger(config))
}
