package collectd

// MaxName bounds the bytes of a host, an instance or a type: collectd keeps 63 and the end. A longer one would be cut
// by the receiver, and two names could become one.
const MaxName = 63

// Kind is the kind of a value.
type Kind byte

// The kinds in use. A derive only grows; its receiver computes the rate.
const (
	Gauge  Kind = 1
	Derive Kind = 2
)

// Value is one of a list's values.
type Value struct {
	Kind Kind
	N    uint64
}

// ValueList holds all values of one type of types.db.
type ValueList struct {
	PluginInstance, Type, TypeInstance string

	Values []Value
}

// Severity is how bad a notification is.
type Severity uint64

// The severities, as the protocol numbers them.
const (
	Failure Severity = 1
	Warning Severity = 2
	Okay    Severity = 4
)

// Notification tells operators of something that happened.
type Notification struct {
	Severity Severity
	Instance string // what it is about; empty for none
	Text     string
}
