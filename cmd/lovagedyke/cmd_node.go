package main

import (
	"context"
	"flag"
	"math"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/journal"
	"github.com/lovagedyke/lovagedyke/internal/loops"
	"github.com/lovagedyke/lovagedyke/internal/process"
	"github.com/lovagedyke/lovagedyke/platform"
)

var cmdNode = &Cmd{
	Name: "node",
	Desc: "run a node: accept callers' jobs and manage the fleet; settings file: $" + platform.SettingsVariable,
	Setup: func(flags *flag.FlagSet, env *Env) Action {
		level := flags.String("log-level", "info", "log level: debug, info, warn or error")
		admission := flags.String("admission", admissionOn, "on refuses jobs that would end too late to be of use, off refuses none for load")
		port := flags.Uint("metrics-port", 0, "port on this host's address that serves metrics and the state dump; 0 disables it")
		order := flags.String("overload-order", orderByCost, "what starts first while a pool is short of capacity: cost or deadline")
		return func(ctx context.Context, env *Env, args []string) error {
			if len(args) > 0 {
				return usagef("got %d arguments, want none (%q is not a flag)", len(args), args[0])
			}
			if *port > math.MaxUint16 {
				return usagef("-metrics-port is %d, want at most %d", *port, math.MaxUint16)
			}
			if *order != orderByCost && *order != orderByDeadline {
				return usagef("-overload-order is %q, want %s or %s", *order, orderByCost, orderByDeadline)
			}
			if *admission != admissionOn && *admission != admissionOff {
				return usagef("-admission is %q, want %s or %s", *admission, admissionOn, admissionOff)
			}
			return node(ctx, env, nodeFlags{level: *level, metricsPort: uint16(*port), deadlineOrder: *order == orderByDeadline, admitAll: *admission == admissionOff})
		}
	},
}

// Values of -overload-order.
const (
	orderByCost     = "cost"
	orderByDeadline = "deadline"
)

// Values of -admission.
const (
	admissionOn  = "on"
	admissionOff = "off"
)

// nodeFlags holds the flags of a node.
type nodeFlags struct {
	level                   string
	metricsPort             uint16
	deadlineOrder, admitAll bool
}

func node(ctx context.Context, env *Env, flags nodeFlags) error {
	path := env.Getenv(platform.SettingsVariable)
	if path == "" {
		return usageError{errors.Newf("environment variable %s is not set, want the path of a settings file", platform.SettingsVariable)}
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	config := process.NodeConfig{
		Settings: settings, SettingsPath: path, DeadlineOrder: flags.deadlineOrder, AdmitAll: flags.admitAll,
	}
	if flags.metricsPort != 0 {
		config.Metrics = netip.AddrPortFrom(settings.Peers.Addr(), flags.metricsPort)
	}
	config.Journal = journal.New(journal.Config{Writer: env.Stdout, Level: flags.level, Fields: []any{"process", settings.Name}})
	// The log writer stops last, so that shutdown messages are written.
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	group := loops.New(logCtx)
	group.Go(config.Journal.Run)
	err = process.RunNode(ctx, config)
	endLog()
	group.Wait()
	return err
}
