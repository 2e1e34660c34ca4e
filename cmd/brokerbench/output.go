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

// newTable returns a writer of tables: cells end with a tab and are aligned to the right.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// progress shows on a terminal how far a load is; elsewhere it is nil.
func progress(length time.Duration) func(time.Duration, int) {
	if !logging.IsTerminal(os.Stderr) {
		return nil
	}
	return func(elapsed time.Duration, sent int) {
		fmt.Fprintf(os.Stderr, "\r%5.1f of %.0f s, %d requests ", elapsed.Seconds(), length.Seconds(), sent)
	}
}

// showProgress overwrites the line of progress of a terminal; elsewhere it does nothing.
func showProgress(format string, args ...any) {
	if logging.IsTerminal(os.Stderr) {
		fmt.Fprintf(os.Stderr, "\r"+format+" ", args...)
	}
}

// clearProgress removes the line of progress.
func clearProgress() {
	if logging.IsTerminal(os.Stderr) {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
}

// writeFile has write fill a new file; without a path it does nothing.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // the error of write says more
		return err
	}
	return file.Close()
}

// saveJSON writes a value where the flag json says.
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
