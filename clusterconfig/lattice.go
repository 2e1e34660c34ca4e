package clusterconfig

import (
	"errors"
	"fmt"
	"strconv"
)

// Values of a Permission and of a Drain.
const (
	Yes = "yes"
	No  = "no"
)

// Lattice orders the values of a key by what they allow. A value a is at most b if Meet(a, b) is a. In that case, a
// broker that acts on a does nothing that b forbids.
type Lattice interface {
	// Check returns an error for an invalid value. Callers do not check an empty value, which means that the key is
	// absent.
	Check(value string) error
	// Meet returns the largest value that is at most a and at most b. Brokers act on it while a change between a and
	// b is pending.
	Meet(a, b string) string
	// Bottom returns a value that is at most every value that Check accepts. Brokers without a lease act on it. Drain
	// is an exception: its Bottom is not used.
	Bottom() string
}

// Schema returns the lattice of a key, or false for an unknown key. It must be the same on all brokers.
type Schema func(key string) (Lattice, bool)

// AtMost reports whether a broker that acts on a does nothing that b forbids.
func AtMost(l Lattice, a, b string) bool { return l.Meet(a, b) == a }

// leaseless is implemented by lattices of keys whose last value a broker keeps using without a lease.
type leaseless interface{ holdsWithoutLease() }

// Limit is the lattice of a number that may always be lowered, such as a rate limit.
type Limit struct {
	Min float64 // minimum valid limit and bottom, in the unit of the limit
}

// ErrNotNumber is returned for a limit that is not a number.
var ErrNotNumber = errors.New("limit is not a number")

// ErrBelowMin is returned for a limit below Limit.Min, the value that brokers use without a lease.
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

// Meet implements Lattice. It returns the smaller number, or the bottom if a or b is not a number, such as the empty
// value of an absent key.
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

// Permission is the lattice of an action that is allowed (Yes) or forbidden (No). Brokers may always omit the action,
// so No is the bottom. A permission states, for example, whether requests of a class may be retried or a zone is open.
type Permission struct{}

// ErrNotYesNo is returned for a permission that is neither Yes nor No.
var ErrNotYesNo = errors.New("value is neither yes nor no")

// Check implements Lattice.
func (Permission) Check(value string) error {
	switch value {
	case Yes, No, "":
		return nil
	}
	return fmt.Errorf("%w: %q", ErrNotYesNo, value)
}

// Meet implements Lattice. It returns Yes only if both values are Yes.
func (Permission) Meet(a, b string) string {
	if a == Yes && b == Yes {
		return Yes
	}
	return No
}

// Bottom implements Lattice.
func (Permission) Bottom() string { return No }

// Exact is the lattice of a value that is compatible only with itself. While a change between two values is pending,
// brokers act on neither of them, but on the empty value, which is the bottom.
type Exact struct{}

// Check implements Lattice.
func (Exact) Check(string) error { return nil }

// Meet implements Lattice. It returns the empty value if a and b differ.
func (Exact) Meet(a, b string) string {
	if a == b {
		return a
	}
	return ""
}

// Bottom implements Lattice.
func (Exact) Bottom() string { return "" }

// Drain is the lattice of whether a node drains (Yes) or not (No). Draining a node is always allowed, so Yes is at most
// No. A broker without a lease, such as a partitioned one, keeps acting on the last value that it received. Bottom is
// not used.
type Drain struct{ Permission }

// Meet implements Lattice. It returns Yes if either value is Yes.
func (Drain) Meet(a, b string) string {
	if a == Yes || b == Yes {
		return Yes
	}
	return No
}

func (Drain) holdsWithoutLease() {}
