package daemon

import (
	"testing"

	"junctionwharf/internal/config"
	"junctionwharf/internal/sftp"
)

// Both memory and sockets bound the number of client connections. 3,800 connections on 128 MB once left no memory for
// the garbage collector, which then used half of the processor, and three quarters of the requests got no answer. On a
// small machine the sockets are the tighter bound.
func TestSizes(t *testing.T) {
	for _, c := range []struct {
		memoryMB float64
		sockets  int
		clients  int
		maxOpen  int
	}{
		{48, 256, 152, 128},
		{192, 1024, 728, 128},
		{128, 4096, 2621, 128},
		{2048, 4096, 3800, 128},
	} {
		var conf config.Config
		conf.Limits = config.Limits{Cores: 2, MemoryMB: c.memoryMB, Sockets: c.sockets}
		s := computeSizes(&conf, 1)
		if s.clientSockets != c.clients || s.maxOpen != c.maxOpen {
			t.Errorf("%v MB, %d sockets: sizes %+v, want %d clients and %d open requests",
				c.memoryMB, c.sockets, s, c.clients, c.maxOpen)
		}
		if float64(s.clientSockets*clientBytes) > clientHeapFraction*float64(s.heapBytes) {
			t.Errorf("%v MB, %d clients use over half of a heap of %d bytes", c.memoryMB, s.clientSockets, s.heapBytes)
		}
		used := s.clientSockets + s.nodeSockets + s.overflow + reservedSockets - minOverflow
		if s.overflow < minOverflow || used > c.sockets {
			t.Errorf("%d sockets: sizes %+v use more sockets, or the overflow is below minOverflow", c.sockets, s)
		}
	}
}

// Hundreds of clients that were not ready took a process of 32 MB over its limit: the heap had the same fraction of it
// as on larger machines, on which the program itself counts for less. The program, and all that is accounted for in the
// heap, must fit into the limit.
func TestSmallestMachineHoldsTheProgram(t *testing.T) {
	for _, memoryMB := range []float64{32, 40, 48, 64, 128, 192} {
		var conf config.Config
		conf.Limits = config.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: 1024}
		s := computeSizes(&conf, 1)
		if whole := s.heapBytes + programBytes; whole > int(memoryMB*(1<<20)) {
			t.Errorf("%v MB: the heap and the program take %d bytes", memoryMB, whole)
		}
		counted := s.clientSockets*clientBytes + s.requestBytes + s.volumes*volumeBytes
		if counted > s.heapBytes {
			t.Errorf("%v MB: sizes %+v count %d bytes, more than the heap", memoryMB, s, counted)
		}
	}
}

// Each connection of the file server holds a packet, which takes memory from the requests of all clients.
func TestFilePacketsTakeMemoryFromRequests(t *testing.T) {
	var conf config.Config
	conf.Limits = config.Limits{Cores: 1, MemoryMB: 64, Sockets: 1024}
	without := computeSizes(&conf, 1)
	conf.Site.SFTP.Listen = "127.0.0.1:2022"
	conf.Site.SFTP.Connections = 32
	with := computeSizes(&conf, 1)
	if taken := without.requestBytes - with.requestBytes; taken != 32*sftp.MaxPacketBytes {
		t.Errorf("32 connections take %d bytes, want %d", taken, 32*sftp.MaxPacketBytes)
	}
	conf.Site.SFTP.Connections = 256
	if few := computeSizes(&conf, 1); few.requestBytes != minRequestBytes {
		t.Errorf("%d bytes are left for requests, want %d", few.requestBytes, minRequestBytes)
	}
}
