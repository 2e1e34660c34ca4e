// Command brokerbench holds the tools round a broker: stand-in receivers of figures, a demonstration, and a load.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	app := &cli.Command{
		Name:  "brokerbench",
		Usage: "tools round a junctionwharf broker",
		Commands: []*cli.Command{
			demoCommand(),
			loadCommand(),
			listenCommand(),
			dashboardCommand(),
			sinksCommand(),
			dnsCommand(),
			drainsCommand(),
			curveCommand(), disconnectsCommand(), floorCommand(), fleetCommand(), hollowCommand(), capacityCommand(), spreadCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "brokerbench:", err)
		os.Exit(1)
	}
}
