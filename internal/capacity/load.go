package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"junctionwharf/internal/fleetharness"
)

// ErrNoFigures reports a raw file without measurements.
var ErrNoFigures = errors.New("raw file contains no measurements")

// Runs maps cell names to the raw reports of their runs.
type Runs map[string]*fleetharness.Report

// Load reads the raw runs of all cells of Grid from a directory. missing lists the names of cells without a raw file.
func Load(dir string) (runs Runs, missing []string, err error) {
	runs = Runs{}
	for _, c := range Grid {
		var report fleetharness.Report
		exists, err := readRaw(dir, c.Name()+".json", &report, func() bool { return len(report.Costs) > 0 })
		switch {
		case err != nil:
			return nil, nil, err
		case exists:
			runs[c.Name()] = &report
		default:
			missing = append(missing, c.Name())
		}
	}
	return runs, missing, nil
}

// readRaw decodes a raw file into value and reports whether the file exists. It returns an error with the file's name
// if the file cannot be read or decoded, and ErrNoFigures if hasFigures reports false after decoding.
func readRaw(dir, name string, value any, hasFigures func() bool) (exists bool, err error) {
	text, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, value)
	}
	if err == nil && !hasFigures() {
		err = ErrNoFigures
	}
	if err != nil {
		return false, fmt.Errorf("read raw file %s: %w", name, err)
	}
	return true, nil
}
