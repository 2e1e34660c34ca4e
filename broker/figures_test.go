package broker

import (
	"testing"

	"junctionwharf/scheduler"
)

// Classes are counted without a lock, and those that vanish stay.
func TestFiguresOfClasses(t *testing.T) {
	var f Metrics
	f.list([]scheduler.Class{{Name: "read"}})
	f.list([]scheduler.Class{{Name: "write"}})
	f.ended("read", Served)
	f.ended("new", Rejected)
	counts := map[string]uint64{}
	for _, figure := range f.Read() {
		counts[figure.Name] = figure.Value
	}
	if counts["success.read"] != 1 || counts["busy.new"] != 1 || len(f.all()) != 3 {
		t.Errorf("%v", counts)
	}
}

// BenchmarkFigures is what counting a final answer costs beside a reader; package telemetry's BenchmarkObserve is what its rows add.
func BenchmarkFigures(b *testing.B) {
	var f Metrics
	f.list([]scheduler.Class{{Name: "lesson-read"}, {Name: "record-write"}, {Name: "bulk-export"}})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				f.Read()
			}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		f.ended("bulk-export", Served)
	}
}
