package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/lovagedyke/lovagedyke/internal/catalogue"
	"github.com/lovagedyke/lovagedyke/internal/problem"
	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

var cmdCatalogue = &Cmd{
	Name:        "catalogue",
	Args:        "apply|list|show|remove",
	Desc:        "change or show teams, services and queues",
	Subcommands: []*Cmd{cmdCatalogueApply, cmdCatalogueList, cmdCatalogueShow, cmdCatalogueRemove},
}

var cmdCatalogueList = &Cmd{
	Name: "list",
	Args: "[flags]",
	Desc: "list services and queues",
	Setup: listCommand[api.CatalogueResponse]{
		header: []string{"NAME", "KIND", "TEAM", "CLASS", "LIMIT", "DEADLINE", "AVAILABILITY", "POOL", "REVISION"},
		fetch:  (*client.Client).Catalogue,
		rows:   func(response api.CatalogueResponse) [][]string { return entryRows(response.Catalogue.Entries) },
	}.setup,
}

func entryRows(entries []api.Entry) [][]string {
	var rows [][]string
	for _, e := range entries {
		rows = append(rows, []string{
			e.Name, e.Kind, e.Team, e.Class, strconv.Itoa(e.Limit), e.Deadline.String(),
			strconv.FormatFloat(e.Availability, 'g', -1, 64), e.Pool, strconv.FormatUint(e.Revision, 10),
		})
	}
	return rows
}

var cmdCatalogueShow = &Cmd{
	Name:  "show",
	Args:  "[flags] [<name>]",
	Desc:  "print the catalogue, or one service or queue, as INI",
	Setup: setupCatalogueShow,
}

func setupCatalogueShow(flags *flag.FlagSet, env *Env) Action {
	var conn connectionFlags
	conn.register(flags, env)
	return func(ctx context.Context, env *Env, args []string) error {
		managerClient, err := conn.client()
		if err != nil {
			return err
		}
		response, err := managerClient.Catalogue(ctx)
		if err != nil {
			return err
		}
		current, err := fromResponse(response)
		if err != nil {
			return err
		}
		if len(args) == 0 {
			fmt.Fprintf(env.Stdout, "# revision %d\n%s", response.Revision, catalogue.Format(current))
			return nil
		}
		name, err := oneArgument(args, "the name of a service or queue, or none")
		if err != nil {
			return err
		}
		entry, known := current.Entries[name]
		if !known {
			return fmt.Errorf("%q is unknown, want %s", name, problem.Unknown(name, current.EntryNames()))
		}
		single := catalogue.New()
		single.Entries[name] = entry
		_, err = env.Stdout.Write(catalogue.Format(single))
		return err
	}
}

func fromResponse(response api.CatalogueResponse) (catalogue.Catalogue, error) {
	parsed, problems := catalogue.FromAPI(response.Catalogue)
	return parsed, problems.Err()
}

var cmdCatalogueRemove = &Cmd{
	Name:  "remove",
	Args:  "[flags] <name>",
	Desc:  "remove a service or queue",
	Setup: setupCatalogueRemove,
}

func setupCatalogueRemove(flags *flag.FlagSet, env *Env) Action {
	var c changeFlags
	c.register(flags, env)
	return func(ctx context.Context, env *Env, args []string) error {
		name, err := oneArgument(args, "the name of a service or queue")
		if err != nil {
			return err
		}
		managerClient, err := c.client()
		if err != nil {
			return err
		}
		c.ensureOperation()
		response, err := managerClient.RemoveEntry(ctx, name, c.operation, nil)
		if err != nil {
			return c.withRetryHint(err)
		}
		return c.reportAndWait(ctx, env, managerClient, response)
	}
}
