package main

import (
	"context"
	"flag"
	"strconv"
)

var cmdRoster = &Cmd{
	Name:  "roster",
	Args:  "[flags]",
	Desc:  "list the system's processes",
	Setup: setupRoster,
}

func setupRoster(flags *flag.FlagSet, env *Env) Action {
	var conn connection
	var out output
	conn.declare(flags, env)
	out.declare(flags)
	return func(ctx context.Context, env *Env, _ []string) error {
		managers, err := conn.client()
		if err != nil {
			return err
		}
		members, err := managers.Roster(ctx)
		if err != nil {
			return err
		}
		var rows [][]string
		for _, m := range members {
			rows = append(rows, []string{m.Name, m.Role, m.DataCentre, m.Address, strconv.FormatUint(m.Revision, 10), m.State})
		}
		return out.write(env.Stdout, members, []string{"NAME", "ROLE", "DATA-CENTRE", "ADDRESS", "REVISION", "STATE"}, rows)
	}
}
