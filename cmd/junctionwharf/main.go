// Command junctionwharf is the broker: it serves clients in front of storage nodes. It also has commands for operators.
//
// Package daemon runs the broker. This package reads the flags and the configuration and implements the operators'
// commands, which call the console of a running broker or query the sources of the endpoint list. The exit code is 0 on
// success and 1 on failure. The agree commands have further exit codes, which exitCodes lists.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/config"
	"junctionwharf/internal/daemon"
	"junctionwharf/internal/logging"
)

// version is the program's version. The linker sets it for a release.
var version = "devel"

// Names of flags.
const (
	siteFlag      = "site"
	handoverFlag  = "handover"
	logFormatFlag = "log-format"
	logAllFlag    = "log-all"
	logLevelFlag  = "log-level"
)

// configFlags select the site file, which enables features that are off on the platform.
var configFlags = []cli.Flag{
	&cli.StringFlag{
		Name:  siteFlag,
		Usage: "read the settings of SFTP, metrics export and other options from `FILE` (such as deploy/site.toml)",
	},
}

// serveFlags turn off features that a platform may not support.
var serveFlags = []cli.Flag{
	&cli.BoolFlag{
		Name:  handoverFlag,
		Value: true,
		Usage: "hand over between the old and the new process of a broker over a Unix socket in $TMPDIR",
	},
}

var logFlags = []cli.Flag{
	&cli.StringFlag{Name: logFormatFlag, Value: "human", Usage: "`FORMAT` of the log: human or json"},
	&cli.BoolFlag{Name: logAllFlag, Usage: "log every line instead of sampling repeated ones"},
	&cli.StringFlag{
		Name:  logLevelFlag,
		Value: "info",
		Usage: "minimum `LEVEL` that is logged: debug, info, warn or error",
	},
}

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "junctionwharf:", err)
		os.Exit(1)
	}
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:  "junctionwharf",
		Usage: "broker in front of storage nodes",
		Commands: []*cli.Command{
			{
				Name:   "serve",
				Usage:  "serve until SIGTERM; SIGHUP rereads the configuration",
				Flags:  slices.Concat(logFlags, configFlags, serveFlags),
				Action: serve,
			},
			{
				Name: "control",
				Usage: "vote on configuration changes and distribute them to brokers until SIGTERM, " +
					"without serving clients; for dedicated machines",
				Flags:  slices.Concat(logFlags, configFlags),
				Action: serveControl,
			},
			{
				Name:   "check",
				Usage:  "check the configuration and print a summary",
				Flags:  configFlags,
				Action: check,
			},
			{
				Name:   "nodes",
				Usage:  "print the storage nodes known to a running broker, or else those of its endpoint sources",
				Flags:  configFlags,
				Action: printNodes,
			},
			agreeCommand(),
			{
				Name:   "version",
				Usage:  "print the version",
				Action: printVersion,
			},
		},
	}
}

func printVersion(context.Context, *cli.Command) error {
	fmt.Println("junctionwharf", version)
	return nil
}

// loadConfig loads the configuration and, if the flag is set, the site file.
func loadConfig(cmd *cli.Command) (*config.Config, error) {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return nil, err
	}
	if path := cmd.String(siteFlag); path != "" {
		c.Site, err = config.LoadSite(path, c.Settings.Scheduler)
	}
	return c, err
}

// loadWithLogger loads the configuration and opens the log that the flags describe.
func loadWithLogger(cmd *cli.Command) (*config.Config, *slog.Logger, error) {
	c, err := loadConfig(cmd)
	if err != nil {
		return nil, nil, err
	}
	log, err := newLogger(cmd, c.Name)
	return c, log, err
}

// newLogger returns a logger that writes to standard error in the format and level of the flags.
func newLogger(cmd *cli.Command, name string) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cmd.String(logLevelFlag))); err != nil {
		return nil, fmt.Errorf("--%s: %w", logLevelFlag, err)
	}
	log, err := logging.New(os.Stderr, logging.Options{
		Name:             name,
		Format:           cmd.String(logFormatFlag),
		Level:            level,
		Color:            logging.IsTerminal(os.Stderr),
		SamplingDisabled: cmd.Bool(logAllFlag),
	})
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", logFormatFlag, err)
	}
	return log, nil
}

// untilSignal returns a context that ends on SIGTERM or an interrupt.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

func serve(ctx context.Context, cmd *cli.Command) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // registered first, since an unhandled SIGHUP ends the process
	c, log, err := loadWithLogger(cmd)
	if err != nil {
		return err
	}
	c.HandoverDisabled = !cmd.Bool(handoverFlag)
	ctx, stop := untilSignal(ctx)
	defer stop()
	return daemon.Serve(ctx, c, log, reload, func() (*config.Config, error) { return loadConfig(cmd) })
}

func serveControl(ctx context.Context, cmd *cli.Command) error {
	c, log, err := loadWithLogger(cmd)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	return daemon.ServeControl(ctx, c, log)
}

// check loads the configuration and prints a summary of it.
func check(_ context.Context, cmd *cli.Command) error {
	c, err := loadConfig(cmd)
	if err != nil {
		return err
	}
	if err := c.CheckComplete(); err != nil {
		fmt.Printf("incomplete, a reload of this file would be rejected: %v\n", err)
	}
	set := c.Settings.Scheduler
	fmt.Printf("%s listens on %s: broker %d of %d, %d classes, %d plans\n",
		c.Name, c.Listen, set.Ordinal, set.Brokers, len(set.Classes), len(set.Plans))
	for _, receiver := range []struct{ name, address string }{
		{"Graphite", c.Site.Graphite.Address},
		{"collectd", c.Site.Collectd.Address},
	} {
		if receiver.address != "" {
			fmt.Printf("figures to %s at %s\n", receiver.name, receiver.address)
		}
	}
	if files := &c.Site.SFTP; files.Listen != "" {
		fmt.Printf("file commands on %s: %d volumes\n", files.Listen, len(files.Plan().Volumes))
	}
	return nil
}
