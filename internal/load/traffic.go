package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// RequestClass is a class of requests in the mix.
type RequestClass struct {
	Name     string
	Share    float64       // weight among all requests, relative to the shares of the other classes
	Write    bool          // sent as BLK.WRITE
	Deadline time.Duration // how long the client waits for an answer
}

// Traffic describes the requests of a run. All random draws are derived from Seed.
type Traffic struct {
	Classes  []RequestClass
	Plans    []string
	Volumes  int     // numbered from 1; each has one plan
	Skew     float64 // exponent of the Zipf distribution over volumes, above 1; 0 for a uniform distribution
	Shards   int     // numbered from 0
	MaxUnits int     // a request has 1 to MaxUnits units
	Brokers  int     // number of brokers that receive requests for the same volume; 0 means 1
	Rate     float64 // requests a second
	Duration time.Duration
	Seed     uint64
}

const (
	// MaxRequests is the maximum number of requests in a run, so that the goroutines of a run fit on one machine. At
	// 50,000 requests a second, a run can last 400 s.
	MaxRequests = 20_000_000
	// arrivalStream is the second half of the generator's seed. It makes the draws of arrivals independent of other
	// draws with the same seed. A change of the value would change the requests of every recorded seed.
	arrivalStream = 0x10ad
)

// Errors of an invalid Traffic or of invalid Options.
var (
	errNoClasses = errors.New("classes and plans must not be empty")
	errNoRate    = errors.New("rate and duration must be above 0")
	errNoVolumes = errors.New("volumes, shards and maximum units must be above 0")
	errSkew      = errors.New("skew must be 0 or above 1")
	errNoAddress = errors.New("no broker address given")
)

// Validate returns an error for the first invalid field.
func (t Traffic) Validate() error {
	requests := t.Rate * t.Duration.Seconds()
	switch {
	case len(t.Classes) == 0 || len(t.Plans) == 0:
		return errNoClasses
	case !(t.Rate > 0) || t.Duration <= 0:
		return errNoRate
	case requests > MaxRequests:
		return fmt.Errorf("%.0f requests exceed the limit of %d", requests, MaxRequests)
	case t.Volumes < 1 || t.Shards < 1 || t.MaxUnits < 1:
		return errNoVolumes
	case t.Skew != 0 && t.Skew <= 1:
		return errSkew
	}
	return nil
}

// Arrival is one request of the traffic.
type Arrival struct {
	At     time.Duration // intended time, from the start of the run
	Class  int           // index in Traffic.Classes
	Plan   int           // index in Traffic.Plans
	Volume int
	Shard  int
	Units  int
	Key    uint64
}

// Arrivals yields the requests in the order of their intended times, which form a Poisson process.
func (t Traffic) Arrivals(yield func(Arrival) bool) {
	random := rand.New(rand.NewPCG(t.Seed, arrivalStream))
	var zipf *rand.Zipf
	if t.Skew > 0 {
		zipf = rand.NewZipf(random, t.Skew, 1, uint64(t.Volumes-1))
	}
	shares := 0.0
	for _, class := range t.Classes {
		shares += class.Share
	}
	seconds := 0.0
	for {
		seconds += random.ExpFloat64() / t.Rate
		if seconds >= t.Duration.Seconds() {
			return
		}
		arrival := t.draw(random, zipf, shares)
		arrival.At = time.Duration(seconds * float64(time.Second))
		if !yield(arrival) {
			return
		}
	}
}

// draw draws a request without its time. The order of the draws is fixed: a change would change the requests of every
// seed. zipf is nil for a uniform distribution of volumes; shares is the sum of the classes' shares.
func (t Traffic) draw(random *rand.Rand, zipf *rand.Zipf, shares float64) Arrival {
	var a Arrival
	a.Shard = random.IntN(t.Shards)
	a.Units = 1 + random.IntN(t.MaxUnits)
	a.Key = random.Uint64()
	if zipf != nil {
		a.Volume = 1 + int(zipf.Uint64())
	} else {
		a.Volume = 1 + random.IntN(t.Volumes)
	}
	a.Plan = a.Volume % len(t.Plans)
	a.Class = t.classAt(random.Float64() * shares)
	return a
}

// classAt returns the index of the class whose interval contains point. The intervals have the lengths of the classes'
// shares and follow one another from 0.
func (t Traffic) classAt(point float64) int {
	last := len(t.Classes) - 1
	for i, class := range t.Classes[:last] {
		if point < class.Share {
			return i
		}
		point -= class.Share
	}
	return last
}
