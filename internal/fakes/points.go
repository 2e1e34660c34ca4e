package fakes

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Point is one value that a receiver took.
type Point struct {
	Series    string
	Timestamp int64 // Unix time, s
	Value     float64
}

const (
	// maxSeries bounds the series that a receiver keeps, so that a sender which makes up names cannot exhaust the
	// memory of an experiment. The largest experiment has some 10,000 series.
	maxSeries = 100_000
	// maxErrors bounds the errors that a receiver keeps: an encoder that is wrong fails in each of its points, and the
	// first thousand tell why.
	maxErrors = 1000
)

// PointStore keeps the points that a receiver took: the latest of each series by its timestamp, and how many came.
type PointStore struct {
	mu       sync.Mutex
	changed  *sync.Cond // broadcast after each point and each error
	latest   map[string]Point
	received int
	errors   []string
	onPoint  func(Point) // gets each point that is kept; nil for none
}

// NewPointStore returns an empty store. onPoint, if not nil, gets each point as it comes.
func NewPointStore(onPoint func(Point)) *PointStore {
	s := &PointStore{
		latest:  map[string]Point{},
		onPoint: onPoint,
	}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// add records points that were received.
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

// keeps reports whether a point is the latest of its series and there is capacity for it; s.mu is held.
func (s *PointStore) keeps(point Point) bool {
	old, known := s.latest[point.Series]
	if known {
		return old.Timestamp <= point.Timestamp
	}
	return len(s.latest) < maxSeries
}

// addError records what could not be read.
func (s *PointStore) addError(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errors) < maxErrors {
		s.errors = append(s.errors, fmt.Sprintf(format, args...))
	}
	s.changed.Broadcast()
}

// Errors returns what could not be read so far.
func (s *PointStore) Errors() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.errors)
}

// Received returns how many points came.
func (s *PointStore) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// Latest returns the latest point of each series.
func (s *PointStore) Latest() map[string]Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.latest)
}

// Await waits until condition holds for the latest points and the errors, or until stop is closed, and reports whether
// it held. condition must not keep its arguments.
func (s *PointStore) Await(
	stop <-chan struct{}, condition func(latest map[string]Point, errors []string) bool,
) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	go func() { // ends with Await
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
