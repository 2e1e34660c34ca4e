// Package fakes has fakes of what surrounds a broker: discovery, storage nodes, clients, and receivers of metrics. Tests,
// the demonstration and the tools share them. They are written from the protocols' public descriptions and share no
// code with what they check.
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

// maxSeries bounds what a receiver keeps.
const maxSeries = 100_000

// PointStore keeps the points that a receiver took: of each series the latest by its stamp, and how many came.
type PointStore struct {
	mu      sync.Mutex
	changed *sync.Cond
	latest  map[string]Point
	taken   int
	faults  []string
	sink    func(Point) // gets each point; nil for none
}

// NewPointStore returns an empty store. sink, if not nil, gets each point as it comes.
func NewPointStore(sink func(Point)) *PointStore {
	p := &PointStore{latest: map[string]Point{}, sink: sink}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *PointStore) add(points ...Point) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, point := range points {
		p.taken++
		if old, seen := p.latest[point.Series]; seen && old.Timestamp > point.Timestamp || !seen && len(p.latest) >= maxSeries {
			continue
		}
		p.latest[point.Series] = point
		if p.sink != nil {
			p.sink(point)
		}
	}
	p.changed.Broadcast()
}

// fault notes what could not be read.
func (p *PointStore) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.faults) < 1000 {
		p.faults = append(p.faults, fmt.Sprintf(format, args...))
	}
	p.changed.Broadcast()
}

// Errors tells what could not be read so far.
func (p *PointStore) Errors() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.faults)
}

// Received tells how many points came.
func (p *PointStore) Received() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken
}

// Latest returns the latest point of each series.
func (p *PointStore) Latest() map[string]Point {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.latest)
}

// Await waits until fits is true of the latest points and the faults, or until stop is closed, and returns what it was.
func (p *PointStore) Await(stop <-chan struct{}, fits func(latest map[string]Point, faults []string) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-stop:
			p.changed.Broadcast()
		case <-over:
		}
	}()
	for {
		if fits(p.latest, p.faults) {
			return true
		}
		select {
		case <-stop:
			return false
		default:
			p.changed.Wait()
		}
	}
}
