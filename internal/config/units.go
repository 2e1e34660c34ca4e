package config

// These convert the files' milliseconds and seconds to the microseconds of the packages that decide. They have no type,
// since the files' figures are integers or floats.
const (
	microsPerMilli  = 1_000
	microsPerSecond = 1_000_000
)
