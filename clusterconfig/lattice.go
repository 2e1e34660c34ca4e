package clusterconfig

import (
	"errors"
	"fmt"
	"strconv"
)

// The values of a Permission and of a Drain.
const (
	Yes = "yes"
	No  = "no"
)

// Lattice orders the values of a key by what they allow. A value a is at most b if Meet(a, b) is a: a broker that acts
// on a does nothing that b forbids.
type Lattice interface {
	// Check returns what is wrong with a value. The empty value stands for an absent key and is not checked.
	Check(value string) error
	// Meet returns the largest value that is at most a and at most b. Brokers act on it while a change is pending.
	Meet(a, b string) string
	// Bottom returns a value that is at most every value that Check accepts. Brokers without a lease act on it.
	Bottom() string
}

// Schema finds the lattice of a key; false for a key that does not exist. It must be the same on all brokers.
type Schema func(key string) (Lattice, bool)

// AtMost reports whether a broker that acts on a does nothing that b forbids.
func AtMost(l Lattice, a, b string) bool { return l.Meet(a, b) == a }

// leaseless is implemented by lattices whose values stay in use without a lease.
type leaseless interface{ holdsWithoutLease() }

// Limit is the lattice of a number of which less is always allowed, such as a rate limit.
type Limit struct {
	Min float64 // the bottom: no lower limit can be configured, in the unit of the limit
}

// ErrNotNumber is the fault of a limit that is no number.
var ErrNotNumber = errors.New("limit is not a number")

// ErrBelowMin is the fault of a limit that is lower than what brokers without a lease use.
var ErrBelowMin = errors.New("limit is below the value that brokers use without a lease")

// Check implements Lattice.
func (l Limit) Check(value string) error {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return fmt.Errorf("%w: %q", ErrNotNumber, value)
	}
	if !(v >= l.Min) { // also rejects NaN
		return fmt.Errorf("%w: got %v, want at least %v", ErrBelowMin, v, l.Min)
	}
	return nil
}

// Meet implements Lattice: the smaller number.
func (l Limit) Meet(a, b string) string {
	x, errA := strconv.ParseFloat(a, 64)
	y, errB := strconv.ParseFloat(b, 64)
	if errA != nil || errB != nil {
		return l.Bottom()
	}
	if y < x {
		return b
	}
	return a
}

// Bottom implements Lattice.
func (l Limit) Bottom() string { return strconv.FormatFloat(l.Min, 'g', -1, 64) }

// Permission is the lattice of something that may be done or not, Yes or No; not doing it is always allowed. Examples:
// whether requests of a class may be retried, whether a zone is open.
type Permission struct{}

// ErrNotYesNo is the fault of a permission that is neither Yes nor No.
var ErrNotYesNo = errors.New("value is neither yes nor no")

// Check implements Lattice.
func (Permission) Check(value string) error {
	switch value {
	case Yes, No, "":
		return nil
	}
	return fmt.Errorf("%w: %q", ErrNotYesNo, value)
}

// Meet implements Lattice: Yes only if both are.
func (Permission) Meet(a, b string) string {
	if a == Yes && b == Yes {
		return Yes
	}
	return No
}

// Bottom implements Lattice.
func (Permission) Bottom() string { return No }

// Exact is the lattice of a value that is compatible with itself alone. While a change from one value to another is
// pending, brokers act on neither.
type Exact struct{}

// Check implements Lattice.
func (Exact) Check(string) error { return nil }

// Meet implements Lattice.
func (Exact) Meet(a, b string) string {
	if a == b {
		return a
	}
	return ""
}

// Bottom implements Lattice.
func (Exact) Bottom() string { return "" }

// Drain is the lattice of a node that may have to drain. Draining a node is always allowed, so Yes is at most No. A
// broker that has received a drain keeps to it without a lease: one that is partitioned keeps what it received last,
// and Bottom is not used.
type Drain struct{ Permission }

// Meet implements Lattice: Yes if one of them is.
func (Drain) Meet(a, b string) string {
	if a == Yes || b == Yes {
		return Yes
	}
	return No
}

func (Drain) holdsWithoutLease() {}
