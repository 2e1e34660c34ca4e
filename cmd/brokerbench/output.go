package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/logging"
)

// newTable returns a writer for tables. Each cell ends with a tab and is aligned to the right.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// progress returns a function that shows the progress of a load on a terminal. It returns nil without a terminal.
func progress(length time.Duration) func(time.Duration, int) {
	if !logging.IsTerminal(os.Stderr) {
		return nil
	}
	return func(elapsed time.Duration, sent int) {
		fmt.Fprintf(os.Stderr, "\r%5.1f of %.0f s, %d requests ", elapsed.Seconds(), length.Seconds(), sent)
	}
}

// showProgress overwrites the progress line of a terminal. It does nothing without a terminal.
func showProgress(format string, args ...any) {
	if logging.IsTerminal(os.Stderr) {
		fmt.Fprintf(os.Stderr, "\r"+format+" ", args...)
	}
}

// clearProgress clears the progress line.
func clearProgress() {
	if logging.IsTerminal(os.Stderr) {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
}

// writeFile creates a file and calls write to fill it. It does nothing if path is empty.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // the error of write matters more
		return err
	}
	return file.Close()
}

// saveJSON writes a value to the file of --json, if the flag is set.
func saveJSON(cmd *cli.Command, value any) error {
	err := writeFile(cmd.String("json"), func(w io.Writer) error {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", " ")
		return encoder.Encode(value)
	})
	if err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	return nil
}
