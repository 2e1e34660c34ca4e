// Command simadapter lets the simulator drive brokers' schedulers: it reads batches of events from standard input and
// writes one reply a batch to standard output.
//
// Rule. It decides nothing: package simwire decodes the events and encodes the actions, package scheduler decides.
// An instance is one simulated broker. All its events of a batch go to its scheduler in one call, in the order of the
// input; instances are called in the order of their first event.
//
// State and owner. adapter owns one scheduler for each instance that was started and not killed; one goroutine reads,
// decides and writes. Everything is lost when the process ends, which it does at the end of its input.
//
// Units. Times are those of the simulated clock, time.Duration since its start.
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

// run answers all batches of in.
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
