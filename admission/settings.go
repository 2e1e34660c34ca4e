package admission

// Micros is a time or duration in whole microseconds. Unlike broker.Micros, it is an alias, so that an int64 can be
// used without conversion.
type Micros = int64

// Settings are the settings of a Controller.
type Settings struct {
	TargetLag         Micros // target of the scheduling lag; 0: only the bounds on open requests apply
	MaxOpen           int    // maximum number of open requests; 0: no bound
	MaxOpenOverloaded int    // maximum number of open requests while the lag is above OverloadLag; 0: no bound
	Window            Micros // length of a window; 0: DefaultWindow
	MaxVolumes        int    // maximum number of volumes whose reserved capacity is tracked; 0: DefaultMaxVolumes
}

const (
	// DefaultWindow is the default length of a window: 10 ms. With a smaller value, a window would contain too few
	// requests to distinguish ranks. With a larger value, the controller would react to an overload more slowly.
	DefaultWindow Micros = 10_000
	// DefaultMaxVolumes is the default maximum number of tracked volumes. With a smaller value, volumes beyond the
	// maximum would lose their reserved capacity in an overload. With a larger value, a client that invents volume
	// names would cost more memory.
	DefaultMaxVolumes = 1 << 14
	// OverloadLag is the lag above which the broker itself is the bottleneck: 2 ms. Above this lag, open requests
	// beyond Settings.MaxOpenOverloaded wait for the broker's processor and not for nodes. With a smaller value, a
	// pause of the garbage collector would cause rejections. With a larger value, rejections would begin only after
	// admitted requests were late.
	OverloadLag Micros = 2_000
)

// Parameters by which the allowance, the number of requests admitted per window, follows the lag.
const (
	// cutFactor multiplies the allowance at each cut, while the lag is above its target. With a smaller value, capacity
	// would be left unused after each cut. With a larger value, the lag would stay above its target for longer.
	cutFactor = 0.85
	// windowsBetweenCuts is the minimum number of windows between cuts, so that waiting work is handled first. With a
	// smaller value, one burst would cause several cuts. With a larger value, the controller would follow a growing
	// overload too slowly.
	windowsBetweenCuts = 4
	// growthFactor multiplies the allowance in each window without overload. The allowance also grows by one request.
	// With a smaller value, capacity would stay unused for longer. With a larger value, the lag would oscillate.
	growthFactor = 1.01
	// recoveryFactor replaces growthFactor until the allowance reaches recoveryShare of its value before the last cut.
	// With a smaller value, a short disturbance would cost capacity for longer. With a larger value, the lag would
	// oscillate.
	recoveryFactor = 1.15
	// recoveryShare is the part of the allowance before the last cut, or of the peak, up to which the allowance grows
	// faster. With a larger value, the allowance would soon exceed a level that was too high shortly before.
	recoveryShare = 0.85
	// lightLoadFactor replaces growthFactor while the lag is below lightLoadLag and the allowance is below
	// recoveryShare of the peak, because the broker has spare capacity. With a smaller value, capacity would stay
	// unused for longer. With a larger value, the lag would oscillate.
	lightLoadFactor = 1.05
	// lightLoadLag is the lag below which the broker is lightly loaded, as a part of the target lag. With a smaller
	// value, the allowance of a lightly loaded broker would grow slowly. With a larger value, the allowance of a broker
	// near its limit would grow fast.
	lightLoadLag = 0.125
	// minAllowance is in requests per window. If it were 0, no requests would be admitted, and the lag could no longer
	// be measured.
	minAllowance = 4.0
	// minPeakShare is the part of the peak that is always admitted. If rejections alone keep the broker busy, admitting
	// fewer requests does not reduce the load. With a smaller value, such a broker would serve almost no requests.
	minPeakShare = 0.3
	// peakDecay is the part of the peak that is lost per window. With a smaller value, a peak of the day before would
	// still have an effect.
	peakDecay = 1e-3
	// calmWindows is the number of successive windows with enough allowance for all requests after which an overload
	// ends. With a smaller value, load shedding would start and stop repeatedly. With a larger value, the controller
	// would report an overload that is over.
	calmWindows = 20
)

// The weights of a new window in the means over windows. With a smaller weight, a mean would follow changes of the load
// more slowly. With a larger weight, a single window would determine the mean.
const (
	peakSmoothing     = 0.1
	admittedSmoothing = 0.1
	offeredSmoothing  = 0.5
	excessSmoothing   = 0.25
	// lagSmoothingDivisor is the inverse of a window's weight in the smoothed lag.
	lagSmoothingDivisor = 4
	// idleLagDivisor divides the smoothed lag in a window without arrivals and lag measurements. With a smaller value,
	// the first requests after a pause would be rejected because of an overload that is over.
	idleLagDivisor = 2
)

const (
	// queuesPerRequest is the number of queues that a request and its answer pass: client, loop, node, node, loop,
	// client. In each of them, the wait is assumed to be as long as in the loop's queue. With a smaller value, requests
	// would be admitted that cannot be served in time. With a larger value, requests would be rejected that can be
	// served in time.
	queuesPerRequest = 6
	// unreservedOpenShare is the part of MaxOpen from which on only requests within reserved capacity are admitted.
	// With a larger value, a burst of other requests would crowd out requests within reserved capacity.
	unreservedOpenShare = 0.9
	// reserveIdleTime is how long a volume must be idle before its bucket may be dropped: 2 s. The bucket must also be
	// full, since a volume that is tracked again has a full one. With a smaller value, volumes in use would be dropped
	// and tracked again more often.
	reserveIdleTime Micros = 2_000_000
	// unreservedIdleTime is how long a volume must be idle before its bucket may be dropped while its plan reserves
	// nothing: 1 min. With a smaller value, a volume could get a full bucket sooner by a change of its plan to and
	// fro. With a larger value, volumes that are gone take the room of others for longer.
	unreservedIdleTime Micros = 60_000_000
	// sweepBatch bounds how many volumes are checked for being idle when a new volume arrives. With a value of 1, idle
	// volumes would rarely be found. With a larger value, the admission of a new volume would cost more.
	sweepBatch = 2
)
