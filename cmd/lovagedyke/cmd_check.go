package main

import (
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/policycheck"
	"github.com/lovagedyke/lovagedyke/internal/problem"
	"github.com/lovagedyke/lovagedyke/internal/settings"
)

var cmdCheck = &Cmd{
	Name:  "check",
	Args:  "[flags] [<catalogue file>...]",
	Desc:  "check settings, catalogue and platform configuration files offline and report all errors",
	Setup: setupCheck,
}

// exitWarnings is the exit code of check if there are warnings but no errors. For other commands,
// the code is exitConflict.
const exitWarnings = 3

// checkFlags holds the flags of check.
type checkFlags struct {
	settings, role  string
	policy, inForce string
	isJSON          bool
}

func (f *checkFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.settings, "settings", "", "settings file to check")
	flags.StringVar(&f.role, "role", "", "role to check the settings for: entry or manager")
	flags.StringVar(&f.policy, "platform-configuration", "", "operators' configuration of the platform to check")
	flags.StringVar(&f.inForce, "in-force", "", "operators' configuration in force, to list the differences from")
	flags.BoolVar(&f.isJSON, "json", false, "write all findings to stdout as one JSON array")
}

func setupCheck(flags *flag.FlagSet, _ *Env) Action {
	var f checkFlags
	f.register(flags)
	return func(_ context.Context, env *Env, args []string) error {
		switch {
		case f.inForce != "" && f.policy == "":
			return usagef("-in-force needs -platform-configuration")
		case f.settings == "" && f.policy == "" && len(args) == 0:
			return usagef("nothing to check: pass -settings, -platform-configuration or catalogue files")
		}
		problems := f.checkFiles(args)
		var findings []policycheck.Finding
		if f.policy != "" {
			findings = checkPolicy(f.policy, f.inForce)
		}
		if f.isJSON {
			return writeFindings(env, append(mistakeFindings(problems), findings...))
		}
		return printFindings(env, problems, findings)
	}
}

// checkFiles checks the settings file and the catalogue files.
func (f *checkFlags) checkFiles(catalogues []string) problem.List {
	var problems problem.List
	if f.settings != "" {
		problems = append(problems, checkSettings(f.settings, settings.Role(f.role))...)
	}
	for _, name := range catalogues {
		_, err := readCatalogue(name)
		problems = append(problems, asProblems(name, err)...)
	}
	return problems
}

// writeFindings writes the findings as one JSON array.
func writeFindings(env *Env, findings []policycheck.Finding) error {
	if findings == nil {
		findings = []policycheck.Finding{}
	}
	if err := writeJSON(env.Stdout, findings); err != nil {
		return err
	}
	return outcomeOf(nil, findings)
}

// printFindings prints faults to Stderr and differences, which are no faults, to Stdout.
func printFindings(env *Env, problems problem.List, findings []policycheck.Finding) error {
	for _, p := range problems {
		env.printError(p.String())
	}
	for _, finding := range findings {
		if finding.Severity == policycheck.SeverityChange {
			fmt.Fprintln(env.Stdout, finding)
		} else {
			env.printError(finding.String())
		}
	}
	err := outcomeOf(problems, findings)
	if err == nil {
		env.printInfo("no mistakes found")
	}
	return err
}

// outcomeOf returns the exit code of check as an error, or nil without errors and warnings.
func outcomeOf(problems problem.List, findings []policycheck.Finding) error {
	has := func(severity policycheck.Severity) bool {
		return slices.ContainsFunc(findings, func(f policycheck.Finding) bool { return f.Severity == severity })
	}
	switch {
	case len(problems) > 0 || has(policycheck.SeverityError):
		return reportedError{exitFailed}
	case has(policycheck.SeverityWarning):
		return reportedError{exitWarnings}
	}
	return nil
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
