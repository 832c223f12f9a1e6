package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"
)

var cmdVersion = &Cmd{
	Name:  "version",
	Desc:  "print the version",
	Setup: func(*flag.FlagSet, *Env) Action { return version },
}

func version(_ context.Context, env *Env, _ []string) error {
	number, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		number = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	fmt.Fprintf(env.Stdout, "%s %s (revision %s, %s)\n", programName, number, revision, runtime.Version())
	return nil
}
