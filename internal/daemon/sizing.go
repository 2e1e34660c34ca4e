package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"junctionwharf/internal/config"
)

// Memory. The limit is the whole process's, which the platform ends when it is over.
const (
	// heapPart is the part of the memory limit for Go's heap; the rest is for the program itself, sockets and late
	// collections. Higher, the process is killed under overload; lower, fewer clients fit.
	heapPart = 0.6
	// plentyMB is the limit, in MiB, from which the program itself takes a small part of the memory. Lower, a small
	// machine gets plentyHeapPart and its process is killed under overload; higher, a larger one rejects clients.
	plentyMB = 128
	// plentyHeapPart is heapPart from plentyMB on.
	plentyHeapPart = 0.8
	// requestPart is the part of the limit for requests and answers that wait. Higher, they push connections out of
	// memory; lower, large values are rejected.
	requestPart = 0.2
	// gcPercent and plentyGCPercent set how far the heap grows between collections. Higher, a small machine's heap
	// grows through its first hours; lower, collections take a part of the processor for as long as there are
	// connections.
	gcPercent       = 100
	plentyGCPercent = 400
	// clientBytes is a client's connection with a request: buffers, stacks, and what the core holds of it. Higher,
	// clients are rejected that would fit; lower, they fill the heap.
	clientBytes = 20 << 10
	// clientHeapPart is the part of the heap that clients may fill. Higher, live memory comes near the limit and
	// collections take the processor; lower, clients are rejected that could be served.
	clientHeapPart = 0.5
)

// Sockets and requests.
const (
	// reservedSockets are for all that is neither a client nor a node: peers, discovery, the console, metrics. Lower,
	// one of these fails under overload.
	reservedSockets = 40
	// nodeSocketDivisor gives nodes a quarter of the sockets, up to maxNodeSockets. Fewer, requests wait for
	// connections; more, clients are rejected.
	nodeSocketDivisor = 4
	maxNodeSockets    = 256
	// idleSocketDivisor gives idle clients a quarter of the sockets; beyond it the oldest are closed. Fewer, clients
	// have to connect anew for each request; more, forgotten connections keep others out.
	idleSocketDivisor = 4
	// overflowDivisor and minOverflow bound the connections beyond the clients' that are being rejected or closed.
	// Fewer, clients see a connection refused in place of an answer; more, they take sockets from clients.
	overflowDivisor = 16
	minOverflow     = 16
	// maxOpenPerCore bounds the requests that are open at once while the processor is the bottleneck. Higher, all of
	// them are late; lower, the processor idles.
	maxOpenPerCore = 64
)

// sizes is what a process may use.
type sizes struct {
	nodeSockets   int
	clientSockets int
	idleClients   int // sockets of clients that wait for nothing
	overflow      int // sockets beyond the clients'
	maxOpen       int // requests open at once while the processor is the bottleneck
	heapBytes     int
	requestBytes  int
}

// computeSizes shares the limits out among so many processes of one broker: during a handover there are two.
func computeSizes(c *config.Config, processes int) sizes {
	sockets := c.Limits.Sockets / processes
	memory := c.Limits.MemoryMB * (1 << 20) / float64(processes)
	s := sizes{
		nodeSockets:  min(maxNodeSockets, sockets/nodeSocketDivisor),
		idleClients:  sockets / idleSocketDivisor,
		heapBytes:    int(heapPart * memory),
		requestBytes: int(requestPart * memory),
		maxOpen:      maxOpenPerCore * processors(c.Limits),
	}
	if c.Limits.MemoryMB >= plentyMB {
		s.heapBytes = int(plentyHeapPart * memory)
	}
	bySockets := sockets - reservedSockets/processes - s.nodeSockets
	byMemory := max(1, int(clientHeapPart*float64(s.heapBytes)/clientBytes))
	s.overflow = min(sockets/overflowDivisor, minOverflow/processes+max(0, bySockets-byMemory))
	s.clientSockets = min(bySockets, byMemory)
	if files := c.Site.SFTP; files.Listen != "" {
		s.clientSockets -= files.Connections/processes + s.nodeSockets
	}
	s.clientSockets = max(1, s.clientSockets)
	return s
}

// processors is how many the process may use.
func processors(limits config.Limits) int {
	return max(1, int(math.Ceil(limits.Cores)))
}

// limitRuntime has Go's runtime keep to the limits. The heap's limit follows with the sizes.
func limitRuntime(limits config.Limits) {
	runtime.GOMAXPROCS(processors(limits))
	if limits.MemoryMB >= plentyMB {
		debug.SetGCPercent(plentyGCPercent)
	} else {
		debug.SetGCPercent(gcPercent)
	}
}

// resize has the parts keep to the limits as one of so many processes.
func (s *service) resize(processes int) {
	size := computeSizes(s.config, processes)
	debug.SetMemoryLimit(int64(size.heapBytes))
	for _, nodes := range s.pools {
		nodes.Resize(size.nodeSockets)
	}
	s.clients.Resize(size.clientSockets, size.idleClients, size.overflow)
	s.clients.ResizeBudget(size.requestBytes)
	if s.files != nil {
		s.files.Resize(s.config.Site.SFTP.Connections/processes, s.config.Site.SFTP.Connections, 0)
	}
}
