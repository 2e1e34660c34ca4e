package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"junctionwharf/internal/fleetharness"
)

// ErrNoFigures tells of a raw file that holds no figures.
var ErrNoFigures = errors.New("no figures in it")

// Runs are the raw reports, by the name of their cell.
type Runs map[string]*fleetharness.Report

// Load reads the raw runs of all cells that a directory has, and names those that it lacks.
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

// readRaw reads a raw file into a value and tells whether it exists. A file that cannot be read, or that has no
// figures, is an error that names it.
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
		return false, fmt.Errorf("%s: %w", name, err)
	}
	return true, nil
}
