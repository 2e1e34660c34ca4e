// Command junctionwharf is the broker.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/daemon"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/members"
)

// version is set by the linker for a release.
var version = "devel"

// flags name the file of what is off on the platform.
var flags = []cli.Flag{&cli.StringFlag{Name: "site", Usage: "read the second front and the metrics from `FILE` (such as deploy/site.toml)"}}

// serveFlags turn off what a platform may not give.
var serveFlags = []cli.Flag{
	&cli.BoolFlag{Name: "handover", Value: true, Usage: "meet a process that replaces this one over a Unix socket in $TMPDIR"},
}

var logFlags = []cli.Flag{
	&cli.StringFlag{Name: "log-format", Value: "human", Usage: "`FORMAT` of the log: human or json"},
	&cli.BoolFlag{Name: "log-all", Usage: "leave no line out, however often it comes"},
	&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least `LEVEL` that is logged: debug, info, warn or error"},
}

func main() {
	if err := app().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "junctionwharf:", err)
		os.Exit(1)
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:  "junctionwharf",
		Usage: "broker in front of storage nodes",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM; SIGHUP rereads the configuration", Flags: slices.Concat(logFlags, flags, serveFlags), Action: serveCommand},
			{Name: "control", Usage: "vote on the agreed document and feed brokers until SIGTERM, without clients: for machines set aside", Flags: slices.Concat(logFlags, flags), Action: controlCommand},
			{Name: "check", Usage: "check the configuration and say what it holds", Flags: flags, Action: checkCommand},
			{Name: "nodes", Usage: "print the list of storage nodes, from a running broker's console or else from its sources", Flags: flags, Action: nodesCommand},
			agreeCommand(),
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				fmt.Println("junctionwharf", version)
				return nil
			}},
		},
	}
}

func load(cmd *cli.Command) (*config.Config, error) {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return nil, err
	}
	if path := cmd.String("site"); path != "" {
		c.Site, err = config.LoadSite(path, c.Settings.Scheduler)
	}
	return c, err
}

// loadAndLog loads the configuration and opens the log that the flags want.
func loadAndLog(cmd *cli.Command) (*config.Config, *slog.Logger, error) {
	c, err := load(cmd)
	if err != nil {
		return nil, nil, err
	}
	log, err := logger(cmd, c.Name)
	return c, log, err
}

func serveCommand(ctx context.Context, cmd *cli.Command) error {
	reload := make(chan os.Signal, 1) // unhandled, the signal would end the process
	signal.Notify(reload, syscall.SIGHUP)
	c, log, err := loadAndLog(cmd)
	if err != nil {
		return err
	}
	c.HandoverDisabled = !cmd.Bool("handover")
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return daemon.Serve(ctx, c, log, reload, func() (*config.Config, error) { return load(cmd) })
}

func controlCommand(ctx context.Context, cmd *cli.Command) error {
	c, log, err := loadAndLog(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return daemon.ServeControl(ctx, c, log)
}

// askTime is how long sources are asked where no broker runs.
const askTime = 3 * time.Second

// nodesCommand prints what a running broker holds; where none answers it asks the sources itself, once.
func nodesCommand(ctx context.Context, cmd *cli.Command) error {
	c, err := load(cmd)
	if err != nil {
		return err
	}
	if c.Console != "" {
		if conn, err := net.DialTimeout("tcp", c.Console, time.Second); err == nil {
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.WriteString(conn, "nodes\n"); err != nil {
				return err
			}
			_, err := io.Copy(os.Stdout, conn)
			return err
		}
	}
	if len(c.Site.Membership.Sources) == 0 {
		return errors.New("no broker answers at console, and the site file names no source")
	}
	fmt.Fprintf(os.Stderr, "no broker answers at console %q: asking the sources for %v\n", c.Console, askTime)
	ctx, stop := context.WithTimeout(ctx, askTime)
	defer stop()
	clock, log := broker.NewClock(), slog.New(slog.DiscardHandler)
	m := members.New(clock, func(broker.Event) {}, log)
	defer m.Close()
	c.Site.Membership.Snapshot = "" // it is the broker's
	if err := m.ApplySettings(c.Site.Membership); err != nil {
		return err
	}
	go discovery.NewWatcher(c.Discovery, discovery.Options{Brokers: 1, Log: log}).Run(ctx, clock, m.HandleDiscovery)
	<-ctx.Done()
	_, err = os.Stdout.Write(m.Table())
	return err
}

// logger writes to standard error as the flags say.
func logger(cmd *cli.Command, name string) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cmd.String("log-level"))); err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	log, err := logging.New(os.Stderr, logging.Options{Name: name, Format: cmd.String("log-format"), Level: level, Color: logging.IsTerminal(os.Stderr), SamplingDisabled: cmd.Bool("log-all")})
	if err != nil {
		return nil, fmt.Errorf("--log-format: %w", err)
	}
	return log, nil
}

func checkCommand(_ context.Context, cmd *cli.Command) error {
	c, err := load(cmd)
	if err != nil {
		return err
	}
	set := c.Settings.Scheduler
	fmt.Printf("%s listens on %s: broker %d of %d, %d classes, %d plans\n", c.Name, c.Listen,
		set.Ordinal, set.Brokers, len(set.Classes), len(set.Plans))
	for sink, address := range map[string]string{"Graphite": c.Site.Graphite.Address, "collectd": c.Site.Collectd.Address} {
		if address != "" {
			fmt.Printf("figures to %s at %s\n", sink, address)
		}
	}
	if c.Site.SFTP.Listen != "" {
		fmt.Printf("file commands on %s: %d volumes\n", c.Site.SFTP.Listen, len(c.Site.SFTP.Plan().Volumes))
	}
	return nil
}
