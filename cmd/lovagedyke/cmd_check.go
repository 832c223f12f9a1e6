package main

import (
	"context"
	"flag"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/problem"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

var cmdCheck = &Cmd{
	Name:  "check",
	Args:  "[flags] [<catalogue file>...]",
	Desc:  "check settings and catalogue files offline, with every mistake",
	Setup: setupCheck,
}

func setupCheck(flags *flag.FlagSet, _ *Env) Action {
	file := flags.String("settings", "", "settings file to check")
	role := flags.String("role", "", "check that the settings are enough for an entry or a manager")
	return func(_ context.Context, env *Env, args []string) error {
		if *file == "" && len(args) == 0 {
			return usagef("got nothing to check, want -settings or catalogue files")
		}
		var found problem.List
		if *file != "" {
			found = append(found, checkSettings(*file, settings.Role(*role))...)
		}
		for _, name := range args {
			_, err := readCatalogue(name)
			found = append(found, problemsOf(name, err)...)
		}
		if len(found) == 0 {
			env.say("no mistakes found")
		}
		return found.Err()
	}
}

// checkSettings reads the file alone: the environment of the one who checks is
// not that of the process.
func checkSettings(file string, role settings.Role) problem.List {
	config, _, err := settings.Load([]string{"-settings", file}, func(string) string { return "" })
	found := problemsOf(file, err)
	if role == "" {
		role = config.Role
	}
	if role != "" {
		found = append(found, problemsOf(file, config.Require(role))...)
	}
	return found
}

func problemsOf(file string, err error) problem.List {
	var list problem.List
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &list):
		return problem.List{{File: file, Message: err.Error()}}
	}
	for i := range list {
		if list[i].File == "" {
			list[i].File = file
		}
	}
	return list
}
