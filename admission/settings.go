package admission

// Micros is a time or span in whole microseconds, an alias of int64, so that values of other packages' time types convert plainly.
type Micros = int64

// Settings of a Controller.
type Settings struct {
	TargetLag         Micros // the scheduling lag that is sought; 0: only the bounds on open requests hold
	MaxOpen           int    // requests that may wait for their answer, 0 for no bound
	MaxOpenOverloaded int    // the same while the lag is above OverloadLag, 0 for no bound
	Window            Micros // between two steps; 0: DefaultWindow
	MaxVolumes        int    // whose reserved capacity is followed at once; 0: DefaultMaxVolumes
}

const (
	// DefaultWindow is 10 ms. If it were lower, a window would hold too few requests to tell ranks apart; if it were
	// higher, an overload would last longer before it is answered.
	DefaultWindow Micros = 10_000
	// DefaultMaxVolumes is in volumes. If it were lower, volumes beyond it would lose their reserved capacity in an
	// overload; if it were higher, a client that invents volume names would cost more memory.
	DefaultMaxVolumes = 1 << 14
	// OverloadLag is the lag above which a broker is itself the bottleneck, and what waits in it beyond
	// Settings.MaxOpenOverloaded waits for its processor and not for nodes: 2 ms. If it were lower, a pause of the
	// garbage collector would reject requests; if it were higher, they would be rejected only after others were late.
	OverloadLag Micros = 2_000
)

// The pace at which the allowance, which is the number of requests admitted in a window, follows the lag.
const (
	// cutFactor is applied while the lag is above its target. If it were lower, capacity would be left unused after
	// each cut; if it were higher, the lag would stay above its target for longer.
	cutFactor = 0.85
	// windowsBetweenCuts lets what waits be done first. If it were lower, one burst would be answered by several cuts;
	// if it were higher, an overload that grows would be followed too slowly.
	windowsBetweenCuts = 4
	// growthFactor is applied while the lag is below its target. If it were lower, capacity would stay unused for
	// longer; if it were higher, the lag would swing.
	growthFactor = 1.01
	// recoveryFactor is applied instead, up to near where the allowance was cut. If it were lower, a short hiccup
	// would cost capacity for longer; if it were higher, the lag would swing.
	recoveryFactor = 1.15
	// recoveryShare is the part of that allowance, or of the peak, up to which faster growth goes. If it were higher,
	// the allowance would overshoot what was too much just before.
	recoveryShare = 0.85
	// lightLoadFactor is applied instead while the lag is below lightLoadLag: the broker can do more. If it were
	// lower, capacity would stay unused for longer; if it were higher, the lag would swing.
	lightLoadFactor = 1.05
	// lightLoadLag is a part of the target lag. If it were lower, a broker at ease would open slowly; if it were
	// higher, one near its limit would open fast.
	lightLoadLag = 0.125
	// minAllowance is in requests a window. If it were 0, nothing would come in, and the lag would no longer be seen.
	minAllowance = 4.0
	// minPeakShare is the part of the peak that is always admitted. Where rejections alone keep the broker busy, to
	// admit fewer would not help; if it were lower, such a broker would serve next to nothing.
	minPeakShare = 0.3
	// peakDecay is the part of the peak that is lost a window. If it were lower, the peak of a day ago would still
	// count.
	peakDecay = 1e-3
	// calmWindows is how many windows with capacity for all end an overload. If it were lower, the controller would
	// open and shut by turns; if it were higher, it would go on to report an overload that is over.
	calmWindows = 20
)

// The weights of a new window in the means over windows. If one were lower, its mean would follow a change of load more
// slowly; if it were higher, a single window would decide.
const (
	peakSmoothing     = 0.1
	admittedSmoothing = 0.1
	offeredSmoothing  = 0.5
	excessSmoothing   = 0.25
	// lagSmoothingDivisor is the inverse of the lag's weight.
	lagSmoothingDivisor = 4
	// idleLagDivisor is what the lag is divided by in a window without arrivals and measurements. If it were lower,
	// the first requests after a pause would be judged by an overload that is over.
	idleLagDivisor = 2
)

const (
	// queuesPerRequest is the number of queues like the loop's that a request stands in: client, loop, node, node,
	// loop, client. If it were lower, requests would be admitted that cannot be in time; if it were higher, some that
	// can be would be rejected.
	queuesPerRequest = 6
	// unreservedOpenShare is the part of MaxOpen from where on only requests within reserved capacity are admitted.
	// If it were higher, a burst of others would crowd these out.
	unreservedOpenShare = 0.9
	// reserveIdleTime is when a volume's reserved capacity is full again, whatever its plan, for it holds less than a
	// second of it and one request: 2 s. If it were lower, a volume that is forgotten and comes again would get more
	// than it reserved.
	reserveIdleTime Micros = 2_000_000
	// sweepBatch bounds how many volumes are looked at for one that is new, and so what an admission costs. If it
	// were 1, idle volumes would rarely be found; if it were higher, each admission of a new volume would cost more.
	sweepBatch = 2
)
