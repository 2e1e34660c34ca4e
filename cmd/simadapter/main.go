// Command simadapter connects the simulator to the schedulers of simulated brokers. It reads batches of events from
// standard input and writes one reply for each batch to standard output.
//
// Rule. This command makes no scheduling decisions: package simwire decodes the events and encodes the actions, and
// package scheduler decides. An instance is one simulated broker. All events of an instance in a batch go to its
// scheduler in one call, in input order. Instances are processed in the order of their first event.
//
// State and owner. adapter owns one scheduler for each running instance. One goroutine reads, decides and writes. The
// process ends at the end of its input and keeps no state.
//
// Units. Times are simulated time, as a time.Duration since the start of the simulated clock.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"junctionwharf/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to all batches of in.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	adapter := newAdapter(simwire.NewWriter(out))
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := adapter.reply(batch); err != nil {
			return err
		}
	}
}
