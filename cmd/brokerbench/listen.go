package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/collectd"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
)

func listenCommand() *cli.Command {
	return &cli.Command{
		Name:  "listen",
		Usage: "receive, check and print or store what brokers tell Graphite and collectd",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "graphite", Usage: "take plaintext at `ADDR`, TCP and UDP"},
			&cli.StringFlag{Name: "pickle", Usage: "take Graphite's pickles at `ADDR`, TCP"},
			&cli.StringFlag{Name: "collectd", Usage: "take collectd's packets at `ADDR`, UDP"},
			&cli.StringFlag{Name: "key-file", Usage: "take only collectd packets signed or encrypted by the first key of `FILE`"},
			&cli.StringFlag{Name: "out", Usage: "store the points in `FILE` instead of printing them"},
			&cli.DurationFlag{Name: "for", Usage: "end after so long; 0: at SIGINT or SIGTERM"},
		},
		Action: listen,
	}
}

func listen(ctx context.Context, cmd *cli.Command) (err error) {
	var out io.Writer = os.Stdout
	if path := cmd.String("out"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	var mu sync.Mutex
	lines := bufio.NewWriter(out)
	points := fakes.NewPointStore(func(p fakes.Point) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(lines, "%d %s %v\n", p.Timestamp, p.Series, p.Value)
	})
	any := false
	start := func(flag string, open func(address string) (io.Closer, string, error)) error {
		address := cmd.String(flag)
		if address == "" {
			return nil
		}
		closer, at, err := open(address)
		if err != nil {
			return fmt.Errorf("--%s: %w", flag, err)
		}
		any = true
		context.AfterFunc(ctx, func() { _ = closer.Close() })
		fmt.Fprintf(os.Stderr, "%s at %s\n", flag, at)
		return nil
	}
	carbon := func(pickles bool) func(string) (io.Closer, string, error) {
		return func(address string) (io.Closer, string, error) {
			c, err := fakes.NewCarbon(address, pickles, points)
			if err != nil {
				return nil, "", err
			}
			return ender(c.Close), c.Address(), nil
		}
	}
	secrets := map[string]string{}
	if path := cmd.String("key-file"); path != "" {
		key, err := collectd.ReadKey(path, "")
		if err != nil {
			return fmt.Errorf("--key-file: %w", err)
		}
		secrets[key.User] = key.Secret
	}
	var receiver *fakes.Collectd
	err = errors.Join(start("graphite", carbon(false)), start("pickle", carbon(true)),
		start("collectd", func(address string) (io.Closer, string, error) {
			var err error
			if receiver, err = fakes.NewCollectd(address, secrets, points); err != nil {
				return nil, "", err
			}
			return ender(receiver.Close), receiver.Address(), nil
		}))
	if err != nil {
		return err
	}
	if !any {
		return errors.New("nothing to listen for: give --graphite, --pickle or --collectd")
	}
	if length := cmd.Duration("for"); length > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, length)
		defer cancel()
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	told, faults := 0, 0
	flush := func() error {
		mu.Lock()
		defer mu.Unlock()
		return lines.Flush()
	}
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintf(os.Stderr, "%d points, %d series, %d faults\n", points.Received(), len(points.Latest()), len(points.Errors()))
			return flush()
		case <-tick.C:
			if err := flush(); err != nil {
				return err
			}
			all := points.Errors()
			for _, fault := range all[faults:] {
				fmt.Fprintln(os.Stderr, "fault:", fault)
			}
			faults = len(all)
			if receiver != nil {
				notices := receiver.Notifications()
				for _, n := range notices[told:] {
					fmt.Fprintf(os.Stderr, "notification from %s: severity %d: %s\n", n.Host, n.Severity, n.Text)
				}
				told = len(notices)
			}
			if logging.IsTerminal(os.Stderr) {
				fmt.Fprintf(os.Stderr, "\r%d points, %d series, %d faults ", points.Received(), len(points.Latest()), faults)
			}
		}
	}
}

// ender is a Close without an error.
type ender func()

func (e ender) Close() error {
	e()
	return nil
}
