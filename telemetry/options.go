package telemetry

import "fmt"

// Options of a Registry. The zero value of a field means its default.
type Options struct {
	MaxSeries      int // maximum number of series that sinks see; DefaultMaxSeries by default
	MaxBytes       int // maximum memory of the rows; DefaultMaxBytes by default
	ReservedSeries int // series from outside the registry, which count toward MaxSeries
	IdleSnapshots  int // a volume's row is removed after this many snapshots without a request; 30 by default
	MinSnapshots   int // a volume keeps its row for at least this many snapshots; 3 by default

	Classes, Plans []string // names that always have rows
}

// The defaults of Options.
const (
	// DefaultMaxSeries bounds the series of one broker. With a larger bound, Graphite creates more files for each
	// broker. With a smaller bound, fewer volumes are shown by name and more count in "other".
	DefaultMaxSeries = 2000
	// DefaultMaxBytes bounds the memory of rows. A larger bound leaves less memory for requests. With a smaller bound,
	// the registry never reaches MaxSeries.
	DefaultMaxBytes = 16 << 20
	// defaultIdleSnapshots is five minutes at an interval of 10 s. With a larger value, volumes no longer in use keep
	// rows that others need. With a smaller value, the series of a volume with few requests restart again and again.
	defaultIdleSnapshots = 30
	// defaultMinSnapshots keeps a series long enough to be visible in a graph. With a larger value, a volume that
	// becomes busy waits longer for its row. With a smaller value, series appear and disappear from one point to the
	// next.
	defaultMinSnapshots = 3
)

// OptionError reports an option that is too small for the rows of the classes and plans.
type OptionError struct {
	Option         string // spelled as in the settings
	Value, Min     int
	Classes, Plans int // number of classes and plans that need rows
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("%s: %d is too small, want at least %d for %d classes and %d plans",
		e.Option, e.Value, e.Min, e.Classes, e.Plans)
}

// Check returns an *OptionError if an option is too small for the rows of the classes and plans and one more row.
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

// permanentRows returns the number of rows that always exist: All, None, the rows Other of the four other dimensions,
// and the rows of classes and plans.
func (o *Options) permanentRows() int { return 6 + len(o.Classes) + len(o.Plans) }
