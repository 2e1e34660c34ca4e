package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/config"
	"junctionwharf/internal/daemon"
	"junctionwharf/internal/fleetharness"
	"junctionwharf/internal/logging"
)

func hollowCommand() *cli.Command {
	return &cli.Command{
		Name:  "hollow",
		Usage: "run the control code of many brokers in one process, without clients and nodes; for the fleet harness",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "brokers", Required: true, Usage: "`FILE` with the brokers' configurations, in JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runHollowFile(ctx, cmd.String("brokers"))
		},
	}
}

// runHollowFile runs the hollow brokers that a file describes.
func runHollowFile(ctx context.Context, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var brokers []fleetharness.HollowBroker
	if err := json.Unmarshal(text, &brokers); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return runHollow(ctx, brokers)
}

// runHollow runs brokers until ctx ends or one of them fails, and returns when all have ended. If a configuration is
// invalid, it returns immediately, and the process ends.
func runHollow(ctx context.Context, brokers []fleetharness.HollowBroker) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var wait sync.WaitGroup
	for i, broker := range brokers {
		c, err := parseHollowConfig(broker)
		if err != nil {
			return fmt.Errorf("brokers[%d]: %w", i, err)
		}
		log, err := logging.New(os.Stderr, logging.Options{Name: c.Name, Format: "json", SamplingDisabled: true})
		if err != nil {
			return err
		}
		wait.Go(func() {
			if err := daemon.ServeHollow(ctx, c, broker.Demand, log); err != nil {
				stop(fmt.Errorf("%s: %w", c.Name, err))
			}
		})
	}
	<-ctx.Done()
	wait.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// parseHollowConfig parses a broker's configuration and site file. It ignores the environment, which all brokers of the
// process would share.
func parseHollowConfig(broker fleetharness.HollowBroker) (*config.Config, error) {
	c, err := config.Parse(broker.Config, func(string) string { return "" })
	if err != nil || broker.Site == "" {
		return c, err
	}
	c.Site, err = config.LoadSite(broker.Site, c.Settings.Scheduler)
	return c, err
}
