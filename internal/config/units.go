package config

// Factors that convert the milliseconds and seconds of the files to the microseconds of the core packages. They are
// untyped because the values in the files are integers or floats.
const (
	microsPerMilli  = 1_000
	microsPerSecond = 1_000_000
)
