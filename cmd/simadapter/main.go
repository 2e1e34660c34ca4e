// Command simadapter lets gateways of package scheduler decide on the users' bench: it reads batches of
// events from standard input and writes one reply a batch to standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"junctionwharf/internal/simwire"
	"junctionwharf/scheduler"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	reader, writer := simwire.NewReader(in), simwire.NewWriter(out)
	gateways := map[string]*scheduler.Scheduler{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(batch, gateways, writer); err != nil {
			return err
		}
	}
}

// answer routes a batch: the events of an instance since its last start go to it in one call.
func answer(batch *simwire.Batch, gateways map[string]*scheduler.Scheduler, writer *simwire.Writer) error {
	var order []string
	events := map[string][]scheduler.Event{}
	for _, item := range batch.Items {
		switch {
		case item.Start != nil:
			gateway, err := scheduler.New(item.Start.Settings, item.Start.Seed)
			if err != nil {
				return fmt.Errorf("line %d: start %s: %w", item.Line, item.Who, err)
			}
			gateways[item.Who] = gateway
			delete(events, item.Who)
		case gateways[item.Who] == nil:
			return fmt.Errorf("line %d: event for %s, which is not running", item.Line, item.Who)
		case item.Halt != nil:
			delete(gateways, item.Who)
			delete(events, item.Who)
		default:
			if events[item.Who] == nil {
				order = append(order, item.Who)
			}
			events[item.Who] = append(events[item.Who], item.Event)
		}
	}
	done := map[string]bool{}
	for _, who := range order {
		if gateways[who] == nil || done[who] {
			continue
		}
		done[who] = true
		if err := decide(who, gateways[who], batch.Now, events[who], writer); err != nil {
			return err
		}
	}
	return writer.End(batch.Number)
}

// decide calls one gateway; a panic in it becomes FATAL with its text.
func decide(who string, gateway *scheduler.Scheduler, now scheduler.Time, events []scheduler.Event, writer *simwire.Writer) error {
	actions, failure := step(gateway, now, events)
	if failure != "" {
		return writer.Fatal(who, failure)
	}
	for _, action := range actions {
		if err := writer.Act(who, action); err != nil {
			return err
		}
	}
	return nil
}

func step(gateway *scheduler.Scheduler, now scheduler.Time, events []scheduler.Event) (actions []scheduler.Action, failure string) {
	defer func() {
		if r := recover(); r != nil {
			failure = fmt.Sprint("panic: ", r)
		}
	}()
	return gateway.Reduce(now, events), ""
}
