package telemetry

import "fmt"

// Options of a Registry. The zero value of a field means its default.
type Options struct {
	MaxSeries      int // bound on the series that sinks see; DefaultMaxSeries by default
	MaxBytes       int // bound on the memory of rows; DefaultMaxBytes by default
	ReservedSeries int // series that come from elsewhere than the registry and count in MaxSeries
	IdleSnapshots  int // a volume's row is removed after so many snapshots without a request; 30 by default
	MinSnapshots   int // a volume keeps its row for at least so many snapshots; 3 by default

	Classes, Plans []string // they always have rows
}

// The defaults of Options.
const (
	// DefaultMaxSeries bounds the series of one broker. Higher, Graphite creates more files for each broker; lower,
	// fewer volumes are shown by name and more fall into "other".
	DefaultMaxSeries = 2000
	// DefaultMaxBytes bounds the memory of rows. Higher takes memory from requests; lower, MaxSeries is not reached.
	DefaultMaxBytes = 16 << 20
	// defaultIdleSnapshots is five minutes at an interval of 10 s. Higher, volumes that went away keep others out;
	// lower, the series of a volume with few requests start anew again and again.
	defaultIdleSnapshots = 30
	// defaultMinSnapshots keeps a series long enough to be seen in a graph. Higher, a volume that becomes busy waits
	// longer for its row; lower, series appear and vanish from one point to the next.
	defaultMinSnapshots = 3
)

// OptionError names an option that leaves no rows for the classes and plans.
type OptionError struct {
	Option         string // as it is spelled in the settings
	Value, Min     int
	Classes, Plans int // how many of each need rows
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("%s: %d is below %d, which %d classes and %d plans need",
		e.Option, e.Value, e.Min, e.Classes, e.Plans)
}

// Check returns an *OptionError for options that leave no rows for the classes and plans.
func (o Options) Check() error {
	o.setDefaults()
	rows := o.permanentRows() + 1
	if minSeries := rows*SeriesPerRow + o.ReservedSeries; o.MaxSeries < minSeries {
		return o.newError("max_series", o.MaxSeries, minSeries)
	}
	if minBytes := rows * rowBytes; o.MaxBytes < minBytes {
		return o.newError("max_bytes", o.MaxBytes, minBytes)
	}
	return nil
}

func (o *Options) newError(option string, value, minimum int) error {
	return &OptionError{
		Option:  option,
		Value:   value,
		Min:     minimum,
		Classes: len(o.Classes),
		Plans:   len(o.Plans),
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxSeries, DefaultMaxSeries)
	setDefault(&o.MaxBytes, DefaultMaxBytes)
	setDefault(&o.IdleSnapshots, defaultIdleSnapshots)
	setDefault(&o.MinSnapshots, defaultMinSnapshots)
}

func setDefault[T int | Micros](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// permanentRows is how many rows there always are: All, Other of each of the four other dimensions, None, and those of
// classes and plans.
func (o *Options) permanentRows() int { return 6 + len(o.Classes) + len(o.Plans) }
