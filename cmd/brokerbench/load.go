package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/config"
	"junctionwharf/internal/load"
	"junctionwharf/scheduler"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to a running broker and print the result",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "config", Required: true,
				Usage: "the broker's configuration `FILE` with its address, classes and plans",
			},
			&cli.StringSliceFlag{Name: "address", Usage: "send to `ADDR` instead; may be repeated"},
			&cli.FloatFlag{Name: "rate", Value: 200, Usage: "requests a second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "length of the run"},
			&cli.StringFlag{Name: "mix", Usage: "shares of classes, such as lesson-read=55,record-write=30"},
			&cli.IntFlag{Name: "volumes", Value: 40},
			&cli.FloatFlag{Name: "skew", Usage: "exponent of Zipf's law over volumes, above 1; 0: all volumes alike"},
			&cli.IntFlag{Name: "shards", Usage: "number of shards; 0: the number in the settings"},
			&cli.IntFlag{Name: "units", Value: 4, Usage: "maximum units of a request"},
			&cli.IntFlag{Name: "connections", Value: 256},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "seed of all draws: the same seed sends the same requests"},
			&cli.StringFlag{Name: "json", Usage: "write the result to `FILE`"},
			&cli.StringFlag{Name: "hdr", Usage: "write the latencies of each second to `FILE`, an HdrHistogram log"},
		},
		Action: sendLoad,
	}
}

func sendLoad(ctx context.Context, cmd *cli.Command) error {
	c, err := loadBrokerConfig(cmd.String("config"))
	if err != nil {
		return err
	}
	traffic, err := configuredTraffic(c, cmd)
	if err != nil {
		return err
	}
	options := load.Options{
		Addresses:         cmd.StringSlice("address"),
		MaxConnections:    cmd.Int("connections"),
		WaitForConnection: true,
		Progress:          progress(traffic.Duration),
	}
	if len(options.Addresses) == 0 {
		options.Addresses = []string{c.Listen}
	}
	result, err := load.Run(ctx, traffic, options)
	clearProgress()
	if err != nil {
		return err
	}
	err = writeFile(cmd.String("json"), func(w io.Writer) error { return writeJSON(w, result) })
	if err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	err = writeFile(cmd.String("hdr"), func(w io.Writer) error { return writeHDR(w, result) })
	if err != nil {
		return fmt.Errorf("--hdr: %w", err)
	}
	return printResult(os.Stdout, result)
}

// loadBrokerConfig reads a broker's configuration from path, not from the file that the environment names.
func loadBrokerConfig(path string) (*config.Config, error) {
	return config.Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return os.Getenv(name)
	})
}

// configuredTraffic returns the traffic that the flags describe, with the classes and plans of a broker.
func configuredTraffic(c *config.Config, cmd *cli.Command) (load.Traffic, error) {
	settings := c.Settings.Scheduler
	classes, err := mixClasses(settings.Classes, cmd.String("mix"))
	if err != nil {
		return load.Traffic{}, err
	}
	traffic := load.Traffic{
		Classes:  classes,
		Volumes:  cmd.Int("volumes"),
		Skew:     cmd.Float("skew"),
		Shards:   cmd.Int("shards"),
		MaxUnits: cmd.Int("units"),
		Brokers:  settings.Brokers,
		Rate:     cmd.Float("rate"),
		Duration: cmd.Duration("for"),
		Seed:     uint64(cmd.Uint("seed")),
	}
	for _, plan := range settings.Plans {
		traffic.Plans = append(traffic.Plans, plan.Name)
	}
	if traffic.Shards == 0 {
		traffic.Shards = max(1, c.Settings.Shards)
	}
	return traffic, nil
}

// mixClasses returns the classes of the settings with equal shares, or with the shares of a mix such as "a=1,b=2".
func mixClasses(classes []scheduler.Class, mix string) ([]load.RequestClass, error) {
	shares, err := parseShares(mix)
	if err != nil {
		return nil, err
	}
	var mixed []load.RequestClass
	for _, class := range classes {
		request := load.RequestClass{
			Name:     class.Name,
			Share:    1,
			Write:    class.Idempotency != scheduler.Idempotent,
			Deadline: class.Deadline,
		}
		if mix != "" {
			request.Share = shares[class.Name]
			delete(shares, class.Name)
		}
		mixed = append(mixed, request)
	}
	for name := range shares {
		return nil, fmt.Errorf("--mix: class %q is not in the settings", name)
	}
	return mixed, nil
}

// parseShares parses shares of classes, such as "a=1,b=2".
func parseShares(mix string) (map[string]float64, error) {
	shares := map[string]float64{}
	if mix == "" {
		return shares, nil
	}
	for part := range strings.SplitSeq(mix, ",") {
		name, text, found := strings.Cut(part, "=")
		share, err := strconv.ParseFloat(text, 64)
		if !found || err != nil || !(share >= 0) {
			return nil, fmt.Errorf("--mix: %q is not CLASS=SHARE with a share of 0 or above", part)
		}
		shares[name] = share
	}
	return shares, nil
}
