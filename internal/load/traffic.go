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
	Share    float64       // of all requests, relative to the other classes' shares
	Write    bool          // sent as BLK.WRITE
	Deadline time.Duration // how long the client waits
}

// Traffic says what is sent. All draws come from Seed.
type Traffic struct {
	Classes  []RequestClass
	Plans    []string
	Volumes  int     // numbered from 1, each on one plan
	Skew     float64 // Zipf's exponent over volumes, above 1; 0 for an even draw
	Shards   int     // numbered from 0
	MaxUnits int     // a request has 1 to so many units
	Brokers  int     // through which a volume's requests come
	Rate     float64 // requests a second
	Duration time.Duration
	Seed     uint64
}

const (
	// MaxRequests bounds a run: at 50,000 requests a second it lasts 400 s, and its goroutines fit one machine.
	MaxRequests = 20_000_000
	// arrivalStream is the second half of the generator's seed. It keeps the draws of arrivals apart from others that
	// use the same seed; another value would draw other requests for each recorded seed.
	arrivalStream = 0x10ad
)

// Faults of a Traffic or of Options.
var (
	errNoClasses = errors.New("no classes or no plans")
	errNoRate    = errors.New("rate and length must be above 0")
	errNoVolumes = errors.New("volumes, shards and units must be above 0")
	errSkew      = errors.New("skew must be above 1, or 0")
	errNoAddress = errors.New("no address")
)

// Validate names the first part that makes no sense.
func (t Traffic) Validate() error {
	requests := t.Rate * t.Duration.Seconds()
	switch {
	case len(t.Classes) == 0 || len(t.Plans) == 0:
		return errNoClasses
	case !(t.Rate > 0) || t.Duration <= 0:
		return errNoRate
	case requests > MaxRequests:
		return fmt.Errorf("%.0f requests are over %d", requests, MaxRequests)
	case t.Volumes < 1 || t.Shards < 1 || t.MaxUnits < 1:
		return errNoVolumes
	case t.Skew != 0 && t.Skew <= 1:
		return errSkew
	}
	return nil
}

// Arrival is one request.
type Arrival struct {
	At     time.Duration // from the start of the run
	Class  int           // index in Traffic.Classes
	Plan   int           // index in Traffic.Plans
	Volume int
	Shard  int
	Units  int
	Key    uint64
}

// Arrivals yields the requests in the order of their times: a Poisson process.
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

// draw draws a request without its time. The order of the draws belongs to the meaning of a seed. zipf is nil for an
// even draw of volumes; shares is the sum over the classes.
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

// classAt is the class in whose stretch a point lies, with the classes' shares laid out one behind another.
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
