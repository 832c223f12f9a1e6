package main

import (
	"context"

	"github.com/lovagedyke/lovagedyke/internal/process"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

// CmdEntry runs the callers' side.
var CmdEntry = &Cmd{
	Name:   "entry",
	Desc:   "take callers' requests and send them to endpoints",
	Action: cmdEntryAction,
}

func cmdEntryAction(ctx context.Context, args []string) error {
	config, err := loadSettings(args, settings.RoleEntry)
	if err != nil {
		return err
	}
	return process.RunEntry(ctx, config, newLogger(config))
}
