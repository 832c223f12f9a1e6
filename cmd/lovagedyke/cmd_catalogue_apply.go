package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/pkg/api"
)

var cmdCatalogueApply = &Cmd{
	Name:  "apply",
	Args:  "[flags] <file>",
	Desc:  "make the catalogue equal to an INI file, after showing the difference",
	Setup: setupCatalogueApply,
}

func setupCatalogueApply(flags *flag.FlagSet, env *Env) Action {
	var c changeFlags
	c.register(flags, env)
	dryRun := flags.Bool("dry-run", false, "show the difference and change nothing")
	return func(ctx context.Context, env *Env, args []string) error {
		file, err := oneArgument(args, "a catalogue file")
		if err != nil {
			return err
		}
		desired, err := readCatalogue(file)
		if err != nil {
			return err
		}
		return c.apply(ctx, env, desired.API(), *dryRun)
	}
}

func readCatalogue(name string) (catalogue.Catalogue, error) {
	file, err := os.Open(name)
	if err != nil {
		return catalogue.Catalogue{}, err
	}
	defer file.Close()
	desired, problems := catalogue.Parse(name, file)
	return desired, problems.Err()
}

// apply prints the difference and commits it against the revision of the
// preview, so that a concurrent change is a conflict.
func (c *changeFlags) apply(ctx context.Context, env *Env, desired api.Catalogue, dryRun bool) error {
	managerClient, err := c.client()
	if err != nil {
		return err
	}
	request := api.ApplyRequest{Catalogue: desired, DryRun: true}
	preview, err := managerClient.Apply(ctx, request)
	if err != nil {
		return err
	}
	for _, difference := range preview.Changes {
		fmt.Fprintln(env.Stdout, difference)
	}
	if dryRun {
		env.printInfo("dry run: %d changes against revision %d, nothing applied", len(preview.Changes), preview.Revision)
		return nil
	}
	c.ensureOperation()
	request.DryRun, request.Operation, request.Expected = false, c.operation, &preview.Revision
	response, err := managerClient.Apply(ctx, request)
	if err != nil {
		return c.withRetryHint(err)
	}
	return c.reportAndWait(ctx, env, managerClient, response)
}
