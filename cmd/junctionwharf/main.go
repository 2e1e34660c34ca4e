// Command junctionwharf is the broker.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/config"
)

// version is set by the linker for a release.
var version = "devel"

func main() {
	app := &cli.Command{
		Name:  "junctionwharf",
		Usage: "broker in front of storage nodes",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM", Action: serveCommand},
			{Name: "check", Usage: "check the configuration and say what it holds", Action: checkCommand},
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				fmt.Println("junctionwharf", version)
				return nil
			}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "junctionwharf:", err)
		os.Exit(1)
	}
}

func serveCommand(ctx context.Context, _ *cli.Command) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return serve(ctx, c)
}

func checkCommand(context.Context, *cli.Command) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s: broker %d of %d, %d classes, %d plans\n", c.Name, c.Listen,
		c.Settings.Logic.Ordinal, c.Settings.Logic.Hosts, len(c.Settings.Logic.Classes), len(c.Settings.Logic.Plans))
	return nil
}
