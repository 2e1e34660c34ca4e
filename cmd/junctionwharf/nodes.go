package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/members"
)

const (
	// sourcesTimeout is how long sources are asked where no broker runs. Higher, the command takes longer; lower,
	// slow ones are missing from its list.
	sourcesTimeout = 3 * time.Second
	// consoleDialTimeout is how long a running broker is looked for.
	consoleDialTimeout = time.Second
	// nodesTimeout bounds the answer of a running broker.
	nodesTimeout = 10 * time.Second
)

// errNoSource is of a command that can ask neither a broker nor a source.
var errNoSource = errors.New("no broker answers at console, and the site file names no source")

// printNodes prints the list that a running broker holds; where none answers it asks the sources itself, once.
func printNodes(ctx context.Context, cmd *cli.Command) error {
	c, err := loadConfig(cmd)
	if err != nil {
		return err
	}
	if c.Console != "" {
		if conn, err := net.DialTimeout("tcp", c.Console, consoleDialTimeout); err == nil {
			return copyNodes(conn)
		}
	}
	if len(c.Site.Membership.Sources) == 0 {
		return errNoSource
	}
	fmt.Fprintf(os.Stderr, "no broker answers at console %q: asking the sources for %v\n", c.Console, sourcesTimeout)
	return printFromSources(ctx, c)
}

// copyNodes prints a console's answer as it comes.
func copyNodes(conn net.Conn) error {
	defer func() { _ = conn.Close() }()                // the answer has come, or an error says why not
	_ = conn.SetDeadline(time.Now().Add(nodesTimeout)) // fails only on a closed connection
	if _, err := io.WriteString(conn, "nodes\n"); err != nil {
		return err
	}
	_, err := io.Copy(os.Stdout, conn)
	return err
}

// printFromSources asks the sources as a broker does.
func printFromSources(ctx context.Context, c *config.Config) error {
	ctx, cancel := context.WithTimeout(ctx, sourcesTimeout)
	defer cancel()
	clock, log := broker.NewClock(), slog.New(slog.DiscardHandler)
	sources := members.New(clock, func(broker.Event) {}, log)
	defer sources.Close()
	c.Site.Membership.Snapshot = "" // it is the broker's
	if err := sources.ApplySettings(c.Site.Membership); err != nil {
		return err
	}
	watcher := discovery.NewWatcher(c.Discovery, discovery.Options{Brokers: 1, Log: log})
	go watcher.Run(ctx, clock, sources.HandleDiscovery) // ends with ctx
	<-ctx.Done()
	_, err := os.Stdout.Write(sources.Table())
	return err
}
