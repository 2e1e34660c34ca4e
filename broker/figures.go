package broker

import (
	"slices"
	"sync"
	"sync/atomic"

	"junctionwharf/scheduler"
)

// Metric is one of a broker's figures at one moment. A counter only grows.
type Metric struct {
	Name    string
	Value   uint64
	Counter bool
}

// Metrics is the one registry of what a broker counts. It is read at any time, without the loop: whoever asks for
// figures must get them above all when the loop is busy.
type Metrics struct {
	open, listed, down atomic.Int64

	taken, turned, left, attempts, stopped, probes, told, heard atomic.Uint64

	reloads, faultyReloads atomic.Uint64

	adding  sync.Mutex                      // among those that add classes; nobody waits for it to count
	classes atomic.Pointer[[]*classFigures] // in the order in which they were first seen; a new slice with each new one
}

// classFigures counts how requests of one class ended.
type classFigures struct {
	name                    string
	served, refused, failed atomic.Uint64
}

// list has classes counted from now on. Those that vanished from the settings stay: a counter does not go back.
func (f *Metrics) list(classes []scheduler.Class) {
	for _, c := range classes {
		f.class(c.Name)
	}
}

func (f *Metrics) class(name string) *classFigures {
	if c := f.known(name); c != nil {
		return c
	}
	f.adding.Lock()
	defer f.adding.Unlock()
	c := f.known(name)
	if c == nil {
		c = &classFigures{name: name}
		all := append(slices.Clone(f.all()), c)
		f.classes.Store(&all)
	}
	return c
}

func (f *Metrics) all() []*classFigures {
	if all := f.classes.Load(); all != nil {
		return *all
	}
	return nil
}

// known finds a class without a lock. There are a few; a map would take longer.
func (f *Metrics) known(name string) *classFigures {
	for _, c := range f.all() {
		if c.name == name {
			return c
		}
	}
	return nil
}

// ended counts a final answer.
func (f *Metrics) ended(class string, verdict Verdict) {
	c := f.class(class)
	[...]*atomic.Uint64{Served: &c.served, Rejected: &c.refused, Failed: &c.failed}[verdict].Add(1)
}

// CountReload counts a configuration that was taken while the broker ran, or turned down.
func (f *Metrics) CountReload(taken bool) {
	if taken {
		f.reloads.Add(1)
	} else {
		f.faultyReloads.Add(1)
	}
}

// Read returns all figures, each class with every way to end, at 0 too.
func (f *Metrics) Read() []Metric {
	var all []Metric
	for _, c := range f.all() {
		all = append(all, Metric{"success." + c.name, c.served.Load(), true}, Metric{"busy." + c.name, c.refused.Load(), true},
			Metric{"failure." + c.name, c.failed.Load(), true})
	}
	for _, c := range []struct {
		name  string
		count *atomic.Uint64
	}{{"backend_calls", &f.attempts}, {"reconfig_ok", &f.reloads}, {"reconfig_failed", &f.faultyReloads}, {"taken", &f.taken}, {"door_refused", &f.turned},
		{"left", &f.left}, {"stopped", &f.stopped}, {"probes", &f.probes}, {"peer_sent", &f.told}, {"peer_heard", &f.heard}} {
		all = append(all, Metric{c.name, c.count.Load(), true})
	}
	for _, g := range []struct {
		name  string
		gauge *atomic.Int64
	}{{"inflight", &f.open}, {"hosts_listed", &f.listed}, {"hosts_down", &f.down}} {
		all = append(all, Metric{g.name, uint64(max(0, g.gauge.Load())), false})
	}
	return all
}
