package fakes

import "testing"

func TestPointStoreKeepsTheLatest(t *testing.T) {
	s := NewPointStore(nil)
	s.add(Point{"a", 2, 20}, Point{"a", 1, 10}, Point{"b", 1, 1}, Point{"b", 1, 2})
	if latest := s.Latest(); latest["a"].Value != 20 || latest["b"].Value != 2 || s.Received() != 4 {
		t.Errorf("got latest points %v of %d received, want values 20 and 2 of 4 received", latest, s.Received())
	}
}
