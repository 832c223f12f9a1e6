package main

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lovagedyke/lovagedyke/internal/standin/platform"
	"github.com/lovagedyke/lovagedyke/internal/standin/web"
)

func platformCommand(logger *log.Logger) *ffcli.Command {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := addressFlag(flags)
	var cfg platform.Config
	flags.DurationVar(&cfg.ListLag, "list-lag", 2*time.Second, "lag of the host list")
	flags.DurationVar(&cfg.RebootTime, "reboot-time", time.Second, "time that a reboot takes")
	flags.IntVar(&cfg.WritesPerSecond, "writes", 0, "writes a second; 400 if zero")
	flags.IntVar(&cfg.ReadsPerSecond, "reads", 0, "reads a second; 2000 if zero")
	return &ffcli.Command{
		Name:      "platform",
		ShortHelp: "table, object store and host list",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			server := platform.New(cfg)
			return web.Serve(ctx, web.Config{Address: *address, Handler: server.Handler(), Log: logger})
		},
	}
}

// addressFlag defines the flag for the address to listen on.
func addressFlag(flags *flag.FlagSet) *netip.AddrPort {
	address := netip.MustParseAddrPort("127.0.0.1:0")
	flags.TextVar(&address, "listen", address, "loopback address to listen on")
	return &address
}
