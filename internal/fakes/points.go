package fakes

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Point is one value that was received.
type Point struct {
	Series    string
	Timestamp int64 // Unix time, s
	Value     float64
}

const (
	// maxSeries limits the series that a receiver keeps. It prevents a sender that invents names from exhausting the
	// memory of an experiment. The largest experiment has some 10,000 series.
	maxSeries = 100_000
	// maxErrors limits the errors that a receiver keeps. A faulty encoder causes an error for each of its points, and
	// the first thousand are enough to find the cause.
	maxErrors = 1000
)

// PointStore stores the latest point of each series by timestamp, and counts the points received.
type PointStore struct {
	mu       sync.Mutex
	changed  *sync.Cond // broadcast after each point and each error
	latest   map[string]Point
	received int
	errors   []string
	onPoint  func(Point) // called for each point that is stored; may be nil
}

// NewPointStore returns an empty store. If onPoint is not nil, it is called for each point that is stored, while the
// store is locked.
func NewPointStore(onPoint func(Point)) *PointStore {
	s := &PointStore{
		latest:  map[string]Point{},
		onPoint: onPoint,
	}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// add stores and counts received points.
func (s *PointStore) add(points ...Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, point := range points {
		s.received++
		if !s.keeps(point) {
			continue
		}
		s.latest[point.Series] = point
		if s.onPoint != nil {
			s.onPoint(point)
		}
	}
	s.changed.Broadcast()
}

// keeps reports whether a point is the latest of its series, and whether the store has room for a new series. The
// caller must hold s.mu.
func (s *PointStore) keeps(point Point) bool {
	old, known := s.latest[point.Series]
	if known {
		return old.Timestamp <= point.Timestamp
	}
	return len(s.latest) < maxSeries
}

// addError records an error about input that could not be parsed.
func (s *PointStore) addError(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errors) < maxErrors {
		s.errors = append(s.errors, fmt.Sprintf(format, args...))
	}
	s.changed.Broadcast()
}

// Errors returns the errors recorded so far, up to maxErrors.
func (s *PointStore) Errors() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.errors)
}

// Received returns the number of points received, including those that were not stored.
func (s *PointStore) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// Latest returns the latest point of each series, by name of the series.
func (s *PointStore) Latest() map[string]Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.latest)
}

// Await waits until condition returns true for the latest points and the errors, or until stop is closed. It reports
// whether condition returned true. condition must not retain its arguments.
func (s *PointStore) Await(
	stop <-chan struct{}, condition func(latest map[string]Point, errors []string) bool,
) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	go func() { // returns when Await returns
		select {
		case <-stop:
			s.changed.Broadcast()
		case <-done:
		}
	}()
	for {
		if condition(s.latest, s.errors) {
			return true
		}
		select {
		case <-stop:
			return false
		default:
			s.changed.Wait()
		}
	}
}
