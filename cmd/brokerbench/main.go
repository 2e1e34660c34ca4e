// Command brokerbench holds load, experiments and measurements for brokers: an open-loop load, a demonstration, fakes
// to try things by hand with, and the runs behind the figures of docs/.
//
// Rule. Each command stands in a file of its own: its flags, its run, its table. What several share: testbed.go starts
// the fakes that a broker stands among, broker_process.go the broker under test, output.go writes tables and files. The
// tool measures and prints; it decides nothing of the product. Names of commands, flags and JSON keys, and the words of
// tables, are those of the measurements that are kept under docs/measurements, so that new figures compare with them.
//
// State and owner. A command's function owns what it starts, and has ended it when it returns: fakes by testbed.close,
// broker processes by kill or stop. main's context ends at SIGTERM or an interrupt; nothing is kept but the files that
// flags name.
//
// Units. Durations of flags carry their unit ("3s"); keys of JSON end with theirs (_us, _ms, _kib); rates are requests
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
		Usage: "tools round a junctionwharf broker",
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
