package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// limitedScheduler returns a scheduler that remembers at most maxVolumes volumes, and a function that reduces
// a request of a volume and returns the actions.
func limitedScheduler(t *testing.T, maxVolumes int) (s *Scheduler, request func(volume string) []Action) {
	t.Helper()
	s = newScheduler(t, Settings{
		Brokers: 1, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{MaxAttempts: 3},
		Classes: []Class{readClass()},
		Plans:   []Plan{{Name: "plan", Rate: 1e6, ReservedRate: 1e6, Weight: 1, Price: 1}},
	}, 1)
	now := time.Hour
	s.Reduce(now, []Event{
		EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n"}}},
		VolumeLimitChanged{MaxVolumes: maxVolumes},
	})
	id := uint64(0)
	return s, func(volume string) []Action {
		id++
		now += time.Millisecond
		return s.Reduce(now, []Event{
			TimerFired{Token: tickTimer},
			Request{
				ID: id, Class: "read", Plan: "plan", Volume: volume, Key: fmt.Sprint("k", id), Units: 1,
				Brokers: 1, Remaining: time.Second,
			},
		})
	}
}

// A client that sent requests under ever new names filled the memory for as long as it went on. Volumes and
// unserved requests must stay within their bound, and a volume in steady use must not be forgotten.
func TestRequestsUnderNewNamesStayBounded(t *testing.T) {
	const maxVolumes = 64
	s, request := limitedScheduler(t, maxVolumes)
	request("steady")
	steady := s.volumes.byName["steady"]
	for i := range 50 * maxVolumes {
		request(fmt.Sprint("new", i))
		for id := range s.requests { // each client leaves at once, its request is not served
			s.Reduce(s.now, []Event{
				ClientGone{ID: id},
				AttemptEnded{ID: id, Node: "n", Outcome: Canceled, Finished: true},
			})
		}
		if i%8 == 0 {
			request("steady")
		}
		sizes := []int{len(s.volumes.list), len(s.volumes.byName), len(s.volumes.byHash), len(s.unserved)}
		for _, size := range sizes {
			if size > maxVolumes {
				t.Fatalf("after %d names: volumes listed, by name, by hash, and unserved requests are %v, want at most %d",
					i+1, sizes, maxVolumes)
			}
		}
		if active := len(s.volumes.active); active > 2*maxVolumes {
			t.Fatalf("%d volumes are active, want at most %d", active, 2*maxVolumes)
		}
	}
	if s.volumes.byName["steady"] != steady {
		t.Error("a volume in steady use was forgotten")
	}
}

// Volumes with open requests must not be forgotten. Without room, a request of a further volume must be
// rejected, and requests of known volumes accepted.
func TestNewVolumeWithoutRoomIsRejected(t *testing.T) {
	const maxVolumes = 8
	s, request := limitedScheduler(t, maxVolumes)
	for i := range maxVolumes {
		request(fmt.Sprint("v", i))
	}
	rejected := false
	for _, action := range request("further") {
		_, isReject := action.(Reject)
		rejected = rejected || isReject
	}
	if !rejected || s.volumes.byName["further"] != nil {
		t.Errorf("a request of a further volume was not rejected, or its volume is remembered")
	}
	request("v0")
	if len(s.requests) != maxVolumes+1 {
		t.Errorf("%d requests are open, want %d", len(s.requests), maxVolumes+1)
	}
	for id := range s.requests {
		s.Reduce(s.now, []Event{
			ClientGone{ID: id},
			AttemptEnded{ID: id, Node: "n", Outcome: Canceled, Finished: true},
		})
	}
	for _, v := range s.volumes.list {
		if v.openRequests != 0 {
			t.Errorf("volume %s has %d open requests, want 0", v.name, v.openRequests)
		}
	}
	request("further")
	if s.volumes.byName["further"] == nil || len(s.volumes.list) != maxVolumes {
		t.Errorf("%d volumes are remembered, want %d, the further one among them", len(s.volumes.list), maxVolumes)
	}
	s.limitVolumes(2)
	if len(s.volumes.list) != 2 {
		t.Errorf("%d volumes are remembered with a smaller bound, want 2", len(s.volumes.list))
	}
}
