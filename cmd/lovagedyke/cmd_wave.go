package main

import (
	"context"
	"flag"
	"slices"
	"strconv"
	"strings"

	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

var cmdWave = &Cmd{
	Name:        "wave",
	Args:        "list|start|resume|stop",
	Desc:        "run rolling maintenance on the hosts of a pool",
	Subcommands: []*Cmd{cmdWaveList, cmdWaveStart, cmdWaveResume, cmdWaveStop},
}

var cmdWaveList = &Cmd{
	Name: "list",
	Args: "[flags]",
	Desc: "list the waves",
	Setup: listCommand[[]api.Wave]{
		header: []string{"POOL", "NEED", "VERDICT", "REASON", "HOSTS"},
		fetch:  (*client.Client).Waves,
		rows:   waveRows,
	}.setup,
}

func waveRows(waves []api.Wave) [][]string {
	var rows [][]string
	for _, wave := range waves {
		rows = append(rows, []string{wave.Pool, strconv.Itoa(wave.Need), wave.Verdict, wave.Reason, hostStates(wave)})
	}
	return rows
}

// hostStates counts the wave's hosts by state, for example "1 down, 2 done".
func hostStates(wave api.Wave) string {
	counts := make(map[string]int)
	for _, state := range wave.Hosts {
		counts[state]++
	}
	var parts []string
	for state, n := range counts {
		parts = append(parts, strconv.Itoa(n)+" "+state)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

var cmdWaveStart = &Cmd{
	Name:  "start",
	Args:  "-need <hosts> [flags] <pool>",
	Desc:  "start a maintenance wave in a pool",
	Setup: setupWaveStart,
}

func setupWaveStart(flags *flag.FlagSet, env *Env) Action {
	need := flags.Int("need", -1, "number of hosts that the pool needs to carry its load")
	return setupWaveChange(flags, env, func(ctx context.Context, managerClient *client.Client, pool string) (api.Wave, error) {
		if *need < 0 {
			return api.Wave{}, usagef("flag -need is missing")
		}
		return managerClient.StartWave(ctx, api.WaveRequest{Pool: pool, Need: *need})
	})
}

var cmdWaveResume = &Cmd{
	Name:  "resume",
	Args:  "[flags] <pool>",
	Desc:  "resume a wave that stopped because hosts failed",
	Setup: setupWaveResume,
}

func setupWaveResume(flags *flag.FlagSet, env *Env) Action {
	return setupWaveChange(flags, env, func(ctx context.Context, managerClient *client.Client, pool string) (api.Wave, error) {
		return managerClient.ResumeWave(ctx, pool)
	})
}

var cmdWaveStop = &Cmd{
	Name:  "stop",
	Args:  "[flags] <pool>",
	Desc:  "end a wave without taking down more hosts",
	Setup: setupWaveStop,
}

func setupWaveStop(flags *flag.FlagSet, env *Env) Action {
	return setupWaveChange(flags, env, func(ctx context.Context, managerClient *client.Client, pool string) (api.Wave, error) {
		return managerClient.StopWave(ctx, pool)
	})
}

// waveChangeFunc requests a change of a pool's wave from a manager.
type waveChangeFunc func(ctx context.Context, managerClient *client.Client, pool string) (api.Wave, error)

func setupWaveChange(flags *flag.FlagSet, env *Env, change waveChangeFunc) Action {
	var conn connectionFlags
	conn.register(flags, env)
	return func(ctx context.Context, env *Env, args []string) error {
		pool, err := oneArgument(args, "a pool")
		if err != nil {
			return err
		}
		managerClient, err := conn.client()
		if err != nil {
			return err
		}
		wave, err := change(ctx, managerClient, pool)
		if err != nil {
			return err
		}
		env.printInfo("wave of pool %s: %s %s", wave.Pool, wave.Verdict, wave.Reason)
		return nil
	}
}
