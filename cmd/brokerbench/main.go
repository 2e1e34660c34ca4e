// Command brokerbench contains the load generator, the demo, the experiments and the measurements for brokers: an
// open-loop load, fakes for manual tests, and the runs behind the figures of docs/.
//
// Rule. Each command has its own file with its flags, its run and its table. Commands share testbed.go, which starts
// the fakes that a broker connects to, broker_process.go, which runs the broker under test, and output.go, which writes
// tables and files. The tool measures and prints; it contains no logic of the product. The names of commands, flags and
// JSON keys and the headings of tables are those of the measurements under docs/measurements, so that new figures can
// be compared with the stored ones.
//
// State and owner. A command's function owns what it starts and ends all of it before it returns: the fakes by
// testbed.close, the broker processes by kill or stop. The context of main ends at SIGTERM or an interrupt. Only the
// files that flags name outlive the process.
//
// Units. Durations of flags carry their unit ("3s"). JSON keys end with their unit (_us, _ms, _kib). Rates are requests
// a second.
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
		Usage: "load generator, experiments and measurements for junctionwharf brokers",
		Commands: []*cli.Command{
			demoCommand(),
			loadCommand(),
			listenCommand(),
			dashboardCommand(),
			sinksCommand(),
			dnsCommand(),
			drainsCommand(),
			curveCommand(),
			disconnectsCommand(),
			rejectAllCommand(),
			fleetCommand(),
			hollowCommand(),
			capacityCommand(),
			spreadCommand(),
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "brokerbench:", err)
		os.Exit(1)
	}
}
