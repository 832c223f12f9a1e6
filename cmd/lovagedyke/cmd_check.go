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
	Desc:  "check settings and catalogue files offline and report all errors",
	Setup: setupCheck,
}

func setupCheck(flags *flag.FlagSet, _ *Env) Action {
	file := flags.String("settings", "", "settings file to check")
	role := flags.String("role", "", "role to check the settings for: entry or manager")
	return func(_ context.Context, env *Env, args []string) error {
		if *file == "" && len(args) == 0 {
			return usagef("nothing to check: pass -settings or catalogue files")
		}
		var problems problem.List
		if *file != "" {
			problems = append(problems, checkSettings(*file, settings.Role(*role))...)
		}
		for _, name := range args {
			_, err := readCatalogue(name)
			problems = append(problems, asProblems(name, err)...)
		}
		if len(problems) == 0 {
			env.printInfo("no mistakes found")
		}
		return problems.Err()
	}
}

// checkSettings checks the file without environment variables, which may differ
// between this shell and the process that will use the file.
func checkSettings(file string, role settings.Role) problem.List {
	config, _, err := settings.Load([]string{"-settings", file}, func(string) string { return "" })
	problems := asProblems(file, err)
	if role == "" {
		role = config.Role
	}
	if role != "" {
		problems = append(problems, asProblems(file, config.Require(role))...)
	}
	return problems
}

func asProblems(file string, err error) problem.List {
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
