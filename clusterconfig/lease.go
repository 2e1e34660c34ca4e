package clusterconfig

const microsPerSecond = 1_000_000

// Timing is what all brokers of a cluster must configure alike.
type Timing struct {
	Lease    Micros // a lease runs this long from when its renewal was sent
	DriftPPM Micros // the rates of two clocks differ by at most so many microseconds in a second
}

// DefaultTiming has a broker that is partitioned restrict itself after a second, which is also about how long it can
// delay a change. A shorter lease costs more renewals and restricts brokers in short network faults; a longer one
// makes operators wait longer for a change while a broker is unreachable. Crystal clocks stay well below 500 ppm.
var DefaultTiming = Timing{Lease: 1_000_000, DriftPPM: 500}

// ExpiryBound returns a span after which, measured on one clock, a lease has ended on any other.
func (t Timing) ExpiryBound(lease Micros) Micros {
	drift := 2 * lease * t.DriftPPM / microsPerSecond
	return lease + drift + 1
}

// Renewal asks the leader for a lease. The tags are its names between brokers.
type Renewal struct {
	Holder      string `msgpack:"Holder"`
	Seq         uint64 `msgpack:"Number"`  // counts the holder's renewals
	Incarnation uint64 `msgpack:"Life"`    // random at each start: a restarted holder is another one
	Epoch       uint64 `msgpack:"Epoch"`   // of the document
	Version     uint64 `msgpack:"Version"` // the active one, as far as the holder knows
	Prepared    uint64 `msgpack:"Ready"`   // the pending version that the holder has prepared, 0 for none
}

// Grant answers a renewal. It brings what the holder lacks: entries, or the full document if there are too many.
type Grant struct {
	Holder      string
	RenewalSeq  uint64
	Incarnation uint64
	Epoch       uint64
	Term        uint64
	GrantSeq    uint64    // orders the grants of a term: renewals may overtake each other on their way
	Document    *Document // full document, nil if the entries suffice
	Entries     []Entry   // up to the active version
	Pending     *Entry    // nil for none
}
