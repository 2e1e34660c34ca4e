package daemon

import (
	"testing"

	"junctionwharf/internal/config"
)

// Connections are bounded by memory as well as by sockets: 3,800 of them on 128 MB once left the collector no room, and it
// took half of the processor while three quarters of the requests found no answer. A small machine keeps what its sockets allow.
func TestSizes(t *testing.T) {
	for _, c := range []struct {
		memory         float64
		sockets        int
		clients, crowd int
	}{
		{48, 256, 152, 128}, {192, 1024, 728, 128}, {128, 4096, 2621, 128}, {2048, 4096, 3800, 128},
	} {
		var conf config.Config
		conf.Limits.Cores, conf.Limits.MemoryMB, conf.Limits.Sockets = 2, c.memory, c.sockets
		s := sizesOf(&conf, 1)
		if s.clients != c.clients || s.crowd != c.crowd {
			t.Errorf("%v MB, %d sockets: %d clients, crowd %d", c.memory, c.sockets, s.clients, s.crowd)
		}
		if float64(s.clients*clientBytes) > clientPart*float64(s.heap) {
			t.Errorf("%v MB: %d clients take over half of %d bytes", c.memory, s.clients, s.heap)
		}
		if s.overflow < leastOverflow || s.clients+s.nodes+s.overflow+spareSockets-leastOverflow > c.sockets {
			t.Errorf("%d sockets: %d, %d and %d", c.sockets, s.clients, s.nodes, s.overflow)
		}
	}
}
