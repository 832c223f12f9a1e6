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
	Setup: listing[api.CatalogueResponse]{
		header: []string{"NAME", "KIND", "TEAM", "CLASS", "LIMIT", "DEADLINE", "AVAILABILITY", "POOL", "REVISION"},
		fetch:  (*client.Client).Catalogue,
		rows:   func(answer api.CatalogueResponse) [][]string { return entryRows(answer.Catalogue.Entries) },
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
	var conn connection
	conn.declare(flags, env)
	return func(ctx context.Context, env *Env, args []string) error {
		managers, err := conn.client()
		if err != nil {
			return err
		}
		answer, err := managers.Catalogue(ctx)
		if err != nil {
			return err
		}
		shown, err := catalogueOf(answer)
		if err != nil {
			return err
		}
		if len(args) == 0 {
			fmt.Fprintf(env.Stdout, "# revision %d\n%s", answer.Revision, catalogue.Format(shown))
			return nil
		}
		name, err := oneArgument(args, "the name of a service or queue, or none")
		if err != nil {
			return err
		}
		entry, known := shown.Entries[name]
		if !known {
			return fmt.Errorf("%q is unknown, want %s", name, problem.Unknown(name, shown.EntryNames()))
		}
		only := catalogue.New()
		only.Entries[name] = entry
		_, err = env.Stdout.Write(catalogue.Format(only))
		return err
	}
}

func catalogueOf(answer api.CatalogueResponse) (catalogue.Catalogue, error) {
	shown, problems := catalogue.FromAPI(answer.Catalogue)
	return shown, problems.Err()
}

var cmdCatalogueRemove = &Cmd{
	Name:  "remove",
	Args:  "[flags] <name>",
	Desc:  "remove a service or queue",
	Setup: setupCatalogueRemove,
}

func setupCatalogueRemove(flags *flag.FlagSet, env *Env) Action {
	var c change
	c.declare(flags, env)
	return func(ctx context.Context, env *Env, args []string) error {
		name, err := oneArgument(args, "the name of a service or queue")
		if err != nil {
			return err
		}
		managers, err := c.client()
		if err != nil {
			return err
		}
		c.begin()
		answer, err := managers.RemoveEntry(ctx, name, c.operation, nil)
		if err != nil {
			return c.explain(err)
		}
		return c.finish(ctx, env, managers, answer)
	}
}
