package main

import (
	"context"
	"flag"
	"strconv"
	"strings"
	"time"

	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

var cmdEvacuate = &Cmd{
	Name:        "evacuate",
	Args:        "start|stop|list",
	Desc:        "let no new work start in a data centre",
	Subcommands: []*Cmd{cmdEvacuateStart, cmdEvacuateStop, cmdEvacuateList},
}

var cmdEvacuateStart = &Cmd{
	Name:  "start",
	Args:  "[flags] <data-centre>",
	Desc:  "stop new work in a data centre; running work ends undisturbed",
	Setup: setupEvacuateStart,
}

func setupEvacuateStart(flags *flag.FlagSet, env *Env) Action {
	return setupEvacuation(flags, env, (*client.Client).StartEvacuation)
}

var cmdEvacuateStop = &Cmd{
	Name:  "stop",
	Args:  "[flags] <data-centre>",
	Desc:  "let work start in a data centre again",
	Setup: setupEvacuateStop,
}

func setupEvacuateStop(flags *flag.FlagSet, env *Env) Action {
	return setupEvacuation(flags, env, (*client.Client).StopEvacuation)
}

// evacuationFunc requests a change of a data centre's evacuation from a manager.
type evacuationFunc func(managerClient *client.Client, ctx context.Context, dataCentre, operation string) (api.ChangeResponse, error)

func setupEvacuation(flags *flag.FlagSet, env *Env, change evacuationFunc) Action {
	var c changeFlags
	c.register(flags, env)
	return func(ctx context.Context, env *Env, args []string) error {
		dataCentre, err := oneArgument(args, "a data centre")
		if err != nil {
			return err
		}
		managerClient, err := c.client()
		if err != nil {
			return err
		}
		c.ensureOperation()
		response, err := change(managerClient, ctx, dataCentre, c.operation)
		if err != nil {
			return c.withRetryHint(err)
		}
		if response.Warning != "" {
			env.printInfo("warning: %s", response.Warning)
		}
		return c.reportAndWait(ctx, env, managerClient, response)
	}
}

var cmdEvacuateList = &Cmd{
	Name: "list",
	Args: "[flags]",
	Desc: "list the evacuated data centres with what still runs there",
	Setup: listCommand[[]api.Evacuation]{
		header: []string{"DATA-CENTRE", "SINCE", "HOSTS", "REQUESTS", "TASKS", "MISSING"},
		fetch:  (*client.Client).Evacuations,
		rows:   evacuationRows,
	}.setup,
}

func evacuationRows(evacuations []api.Evacuation) [][]string {
	var rows [][]string
	for _, evacuation := range evacuations {
		requests, tasks := 0, 0
		for _, host := range evacuation.Hosts {
			requests += host.Requests
			tasks += host.Tasks
		}
		rows = append(rows, []string{
			evacuation.DataCentre, sinceText(evacuation.Since), strconv.Itoa(len(evacuation.Hosts)),
			strconv.Itoa(requests), strconv.Itoa(tasks), strings.Join(evacuation.Missing, ","),
		})
	}
	return rows
}

// sinceText returns the time in UTC, or "unknown" for the zero time.
func sinceText(since time.Time) string {
	if since.IsZero() {
		return "unknown"
	}
	return since.UTC().Format(time.RFC3339)
}
