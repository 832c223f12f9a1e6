package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/internal/platform"
	"github.com/lovagedyke/lovagedyke/internal/standin/endpoint"
	"github.com/lovagedyke/lovagedyke/internal/standin/load"
	"github.com/lovagedyke/lovagedyke/internal/standin/report"
	"github.com/lovagedyke/lovagedyke/internal/standin/worker"
	api "github.com/lovagedyke/lovagedyke/internal/worker"
)

// Key prefixes of the table rows that are named after runs.
const (
	chargePrefix   = "charge/"
	unprovenPrefix = "charge-unproven/"
)

// errChecksFailed sets the exit code after the table of checks was printed.
var errChecksFailed = errors.New("checks failed")

// reportSources holds the sources of the evidence, and the evidence collected.
type reportSources struct {
	evidence  report.Evidence
	platform  string
	endpoints []string
	workers   []string
}

func reportCommand() *ffcli.Command {
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	sources := &reportSources{evidence: report.Evidence{
		Loads: make(map[string]load.Report), Limits: make(map[string]int), RunsPerTask: make(map[string]int),
	}}
	flags.StringVar(&sources.platform, "platform", "", "address of the platform stand-in")
	flags.Func("endpoint", "address of an endpoint; repeatable", appendTo(&sources.endpoints))
	flags.Func("worker", "address of a worker; repeatable", appendTo(&sources.workers))
	flags.Func("load", "name=file of a load report; repeatable", sources.addLoad)
	flags.Func("limit", "team=limit; repeatable", sources.addLimit)
	flags.Func("withdrawn", "load=time at which the withdrawal of its key was accepted", sources.setWithdrawn)
	return &ffcli.Command{
		Name:      "report",
		ShortHelp: "compare what ran with what was answered and charged",
		FlagSet:   flags,
		Exec:      sources.run,
	}
}

func appendTo(list *[]string) func(string) error {
	return func(text string) error {
		*list = append(*list, text)
		return nil
	}
}

func (s *reportSources) addLoad(text string) error {
	name, file, _ := strings.Cut(text, "=")
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var loaded load.Report
	if err := json.Unmarshal(content, &loaded); err != nil {
		return errors.Wrapf(err, "decode %q", file)
	}
	s.evidence.Loads[name] = loaded
	return nil
}

func (s *reportSources) addLimit(text string) error {
	team, number, _ := strings.Cut(text, "=")
	limit, err := strconv.Atoi(number)
	s.evidence.Limits[team] = limit
	return err
}

func (s *reportSources) setWithdrawn(text string) error {
	name, at, _ := strings.Cut(text, "=")
	parsed, err := time.Parse(time.RFC3339Nano, at)
	s.evidence.WithdrawnLoad, s.evidence.WithdrawnAt = name, parsed
	return err
}

// run collects the evidence, prints the table of checks and returns an error if
// any of them failed.
func (s *reportSources) run(ctx context.Context, _ []string) error {
	if err := s.collect(ctx); err != nil {
		return err
	}
	if !report.Print(os.Stdout, report.Check(s.evidence)) {
		return errChecksFailed
	}
	return nil
}

func (s *reportSources) collect(ctx context.Context) error {
	for _, address := range s.endpoints {
		var stats endpoint.Stats
		if err := getStats(ctx, address, &stats); err != nil {
			return err
		}
		s.evidence.Endpoints = append(s.evidence.Endpoints, stats)
	}
	for _, address := range s.workers {
		var stats worker.Stats
		if err := getStats(ctx, address, &stats); err != nil {
			return err
		}
		for _, run := range stats.Runs {
			s.evidence.Tasks = append(s.evidence.Tasks, report.Interval{Team: run.Team, Start: run.Start, End: run.End})
			if run.State == api.Done {
				s.evidence.TasksDone = append(s.evidence.TasksDone, chargeRunID(run.ID))
			}
		}
		for task, runs := range stats.RunsPerTask {
			s.evidence.RunsPerTask[task] += runs
		}
	}
	return s.collectCharges(ctx)
}

// chargeRunID converts the id of a start, "<queue>/<task>.<attempt>", to the run
// id on its charge, "<queue>-<task>.0.<attempt>".
func chargeRunID(start string) string {
	name, attempt, _ := strings.Cut(start, ".")
	return strings.Replace(name, "/", "-", 1) + ".0." + attempt
}

func (s *reportSources) collectCharges(ctx context.Context) error {
	address, err := netip.ParseAddrPort(s.platform)
	if err != nil {
		return errors.Wrap(err, "parse platform address")
	}
	client := platform.New(platform.Config{Address: address, Process: "report"})
	defer client.Close()
	if s.evidence.Charged, err = listRunIDs(ctx, client, chargePrefix); err != nil {
		return err
	}
	s.evidence.Unproven, err = listRunIDs(ctx, client, unprovenPrefix)
	return err
}

// listRunIDs returns the run ids of the rows whose keys have the prefix.
func listRunIDs(ctx context.Context, client *platform.Client, prefix string) ([]string, error) {
	rows, err := client.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var ids []string
	for _, row := range rows {
		ids = append(ids, strings.TrimPrefix(row.Key, prefix))
	}
	return ids, nil
}

func getStats(ctx context.Context, address string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/standin/stats", address), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(result), "decode stats of %s", address)
}
