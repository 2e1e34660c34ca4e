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
		Usage: "run the control side of many brokers in one process, without clients and nodes: the rig starts it",
		Flags: []cli.Flag{&cli.StringFlag{Name: "brokers", Required: true, Usage: "`FILE` with the configurations, in JSON"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			text, err := os.ReadFile(cmd.String("brokers"))
			if err != nil {
				return err
			}
			var all []fleetharness.HollowBroker
			if err := json.Unmarshal(text, &all); err != nil {
				return fmt.Errorf("%s: %w", cmd.String("brokers"), err)
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runHollow(ctx, all)
		},
	}
}

// runHollow runs brokers until ctx ends, or one of them does.
func runHollow(ctx context.Context, all []fleetharness.HollowBroker) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var wait sync.WaitGroup
	for i, h := range all {
		c, err := config.Parse(h.Config, func(string) string { return "" })
		if err == nil && h.Site != "" {
			c.Site, err = config.LoadSite(h.Site, c.Settings.Scheduler)
		}
		if err != nil {
			return fmt.Errorf("brokers[%d]: %w", i, err)
		}
		log, err := logging.New(os.Stderr, logging.Options{Name: c.Name, Format: "json", SamplingDisabled: true})
		if err != nil {
			return err
		}
		wait.Go(func() {
			if err := daemon.ServeHollow(ctx, c, h.Demand, log); err != nil {
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
