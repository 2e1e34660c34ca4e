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
	// sourcesTimeout is how long the sources are queried if no console can be reached. With a larger value, the command
	// takes longer. With a smaller value, the output lacks slow sources.
	sourcesTimeout = 3 * time.Second
	// consoleDialTimeout bounds the time to connect to the console of a running broker.
	consoleDialTimeout = time.Second
	// nodesTimeout bounds the time to read a running broker's answer.
	nodesTimeout = 10 * time.Second
)

// errNoSource is returned if no console can be reached and the site file contains no source.
var errNoSource = errors.New("no broker answers on the console, and the site file does not name a source")

// printNodes prints the list of nodes of a running broker. If it cannot connect to the broker's console, it queries the
// sources itself for sourcesTimeout.
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
	fmt.Fprintf(os.Stderr, "no broker answers on console %q: querying the sources for %v\n", c.Console, sourcesTimeout)
	return printFromSources(ctx, c)
}

// copyNodes makes the nodes call on a connection to a console and prints the answer as it arrives.
func copyNodes(conn net.Conn) error {
	defer func() { _ = conn.Close() }()                // the answer is complete, or an error is returned
	_ = conn.SetDeadline(time.Now().Add(nodesTimeout)) // fails only on a closed connection
	if _, err := io.WriteString(conn, "nodes\n"); err != nil {
		return err
	}
	_, err := io.Copy(os.Stdout, conn)
	return err
}

// printFromSources follows the sources for sourcesTimeout, as a broker does, and prints the list merged from them.
func printFromSources(ctx context.Context, c *config.Config) error {
	ctx, cancel := context.WithTimeout(ctx, sourcesTimeout)
	defer cancel()
	clock, log := broker.NewClock(), slog.New(slog.DiscardHandler)
	sources := members.New(clock, func(broker.Event) {}, log)
	defer sources.Close()
	c.Site.Membership.Snapshot = "" // the snapshot belongs to the broker
	if err := sources.ApplySettings(c.Site.Membership); err != nil {
		return err
	}
	watcher := discovery.NewWatcher(c.Discovery, discovery.Options{Brokers: 1, Log: log})
	go watcher.Run(ctx, clock, sources.HandleDiscovery) // ends with ctx
	<-ctx.Done()
	_, err := os.Stdout.Write(sources.Table())
	return err
}
