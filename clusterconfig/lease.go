package clusterconfig

const microsPerSecond = 1_000_000

// Timing holds the lease parameters. All brokers of a cluster must configure the same values.
type Timing struct {
	Lease    Micros // duration of a lease, counted from when its renewal was sent
	DriftPPM Micros // maximum difference between the rates of two clocks, in microseconds per second
}

// DefaultTiming restricts a partitioned broker after one second. This is also about how long such a broker can delay a
// change. A shorter lease costs more renewals and restricts brokers during short network faults. A longer lease makes
// operators wait longer for a change while a broker is unreachable. The drift of crystal clocks stays well below
// 500 ppm.
var DefaultTiming = Timing{Lease: 1_000_000, DriftPPM: 500}

// ExpiryBound returns how long a clock must run until a lease of the given length has ended on every other clock. It
// allows for twice the drift, plus 1 µs because the division rounds down.
func (t Timing) ExpiryBound(lease Micros) Micros {
	drift := 2 * lease * t.DriftPPM / microsPerSecond
	return lease + drift + 1
}

// Renewal asks the leader for a lease. The struct tags are the field names in messages between brokers.
type Renewal struct {
	Holder      string `msgpack:"Holder"`
	Seq         uint64 `msgpack:"Number"`  // sequence number of the renewal, counted by the holder
	Incarnation uint64 `msgpack:"Life"`    // random at each start, to distinguish a restarted holder from its predecessor
	Epoch       uint64 `msgpack:"Epoch"`   // of the holder's document
	Version     uint64 `msgpack:"Version"` // active version known to the holder
	Prepared    uint64 `msgpack:"Ready"`   // pending version that the holder has prepared, 0 for none
}

// Grant answers a renewal. It contains the entries up to the active version that the holder lacks, or the full document
// if the leader no longer has all of these entries or the holder is of another epoch.
type Grant struct {
	Holder      string
	RenewalSeq  uint64
	Incarnation uint64
	Epoch       uint64
	Term        uint64
	GrantSeq    uint64    // orders the grants of a term, since grants may arrive in another order
	Document    *Document // full document, nil if the entries suffice
	Entries     []Entry   // entries up to the active version
	Pending     *Entry    // pending version, nil for none
}
