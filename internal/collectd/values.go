package collectd

// MaxName is the maximum length of a host, an instance or a type in bytes. collectd stores 63 bytes and a terminating
// zero byte. It would truncate a longer name, and two names could become equal.
const MaxName = 63

// Kind is the kind of a value.
type Kind byte

// The kinds in use. A derive is a counter that only grows, from which the receiver computes the rate.
const (
	Gauge  Kind = 1
	Derive Kind = 2
)

// Value is a single value of a ValueList.
type Value struct {
	Kind Kind
	N    uint64
}

// ValueList contains the values of one type defined in types.db.
type ValueList struct {
	PluginInstance, Type, TypeInstance string

	Values []Value
}

// Severity is the severity of a notification.
type Severity uint64

// The severities, with their protocol numbers.
const (
	Failure Severity = 1
	Warning Severity = 2
	Okay    Severity = 4
)

// Notification is a message to operators about an event.
type Notification struct {
	Severity Severity
	Instance string // subject of the notification; empty for none
	Text     string
}
