package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/sftp"
)

// Memory. The platform kills the process when its whole memory exceeds the limit.
const (
	// heapFraction is the fraction of the memory limit that Go's heap may use. The rest is for the program itself,
	// sockets and late collections. With a larger value, the process is killed under overload. With a smaller value,
	// fewer clients fit.
	heapFraction = 0.6
	// largeMemoryMB is the memory limit in MiB from which on the program itself uses only a small part of the memory.
	// With a smaller value, a process on a small machine uses largeHeapFraction and is killed under overload. With a
	// larger value, a larger machine rejects clients that it could serve.
	largeMemoryMB = 128
	// largeHeapFraction replaces heapFraction from largeMemoryMB on.
	largeHeapFraction = 0.8
	// programBytes is the memory in bytes of the program itself, besides Go's heap and stacks: its code and data, and the
	// C library. On the smallest machines it leaves less than heapFraction to the heap. With a smaller value, the
	// process is killed there under overload. With a larger value, fewer clients fit.
	programBytes = 17 << 20
	// requestFraction is the fraction of the memory limit for buffered requests and answers. With a larger fraction,
	// less memory is left for connections. With a smaller fraction, large requests are rejected.
	requestFraction = 0.2
	// requestHeapFraction is the fraction of the heap that buffered requests and answers may fill, where that is less
	// than requestFraction allows.
	requestHeapFraction = requestFraction / heapFraction
	// minHeapBytes is the memory in bytes that the heap may use in any case: half of the smallest machine's, as for
	// each of two processes during a handover.
	minHeapBytes = 6 << 20
	// minRequestBytes is the memory in bytes that is left for requests if the file server's packets would use all of it.
	minRequestBytes = 1 << 20
	// gcPercent and largeGCPercent set how far the heap grows between collections. With larger values, the heap of a
	// small machine keeps growing for its first hours. With smaller values, collections use processor time for as long
	// as there are connections.
	gcPercent      = 100
	largeGCPercent = 400
	// clientBytes is the memory of one client connection with a request, in bytes: buffers, stacks, a small request and
	// its answer, for which nothing is reserved, and the request's state in the core. With a larger value, clients are
	// rejected although they would fit. With a smaller value, clients fill the heap.
	clientBytes = 20 << 10
	// clientHeapFraction is the fraction of the heap that clients may fill. With a larger value, live memory approaches
	// the limit, and collections use up the processor. With a smaller value, clients are rejected that could be served.
	clientHeapFraction = 0.5
	// volumeBytes is the memory of the state of one volume in the core, and of one unserved request, in bytes.
	volumeBytes = 1 << 10
	// volumeHeapFraction is the fraction of the heap that volumes and unserved requests may fill. With a larger value,
	// requests under ever new names fill the heap. With a smaller value, the core forgets volumes that are in use.
	volumeHeapFraction = 0.125
)

// Sockets and requests.
const (
	// reservedSockets is the number of sockets for everything except clients and nodes: peers, discovery, the console,
	// metrics. With a smaller value, one of these fails under overload.
	reservedSockets = 40
	// nodeSocketDivisor reserves a quarter of the sockets for nodes, up to maxNodeSockets. With fewer, requests wait
	// for connections. With more, clients are rejected.
	nodeSocketDivisor = 4
	maxNodeSockets    = 256
	// idleSocketDivisor limits idle clients to a quarter of the sockets; beyond it the oldest are closed. With fewer,
	// clients have to reconnect for each request. With more, abandoned connections keep other clients out.
	idleSocketDivisor = 4
	// overflowDivisor and minOverflow bound the sockets for connections above the client limit, which are being
	// rejected or closed. With fewer, clients see a refused connection instead of an error answer. With more, fewer
	// sockets are left for clients.
	overflowDivisor = 16
	minOverflow     = 16
	// maxOpenPerCore is the maximum number of open requests per core while the processor is the bottleneck. With a
	// larger value, all of them are late. With a smaller value, the processor idles.
	maxOpenPerCore = 64
)

// sizes holds the limits of one process.
type sizes struct {
	nodeSockets   int
	clientSockets int
	idleClients   int // sockets of clients without open requests
	overflow      int // sockets above the client limit
	maxOpen       int // open requests while the processor is the bottleneck
	heapBytes     int
	requestBytes  int
	volumes       int // volumes that the core remembers
}

// computeSizes returns the limits of one process, given the number of processes of this broker, which is 2 during a
// handover. All processes share the configured sockets and memory. maxOpen does not depend on their number.
func computeSizes(c *config.Config, processes int) sizes {
	sockets := c.Limits.Sockets / processes
	memory := c.Limits.MemoryMB * (1 << 20) / float64(processes)
	s := sizes{
		nodeSockets:  min(maxNodeSockets, sockets/nodeSocketDivisor),
		idleClients:  sockets / idleSocketDivisor,
		heapBytes:    int(heapFraction * memory),
		requestBytes: int(requestFraction * memory),
		maxOpen:      maxOpenPerCore * processors(c.Limits),
	}
	if c.Limits.MemoryMB >= largeMemoryMB {
		s.heapBytes = int(largeHeapFraction * memory)
	}
	s.heapBytes = max(minHeapBytes, min(s.heapBytes, int(memory)-programBytes))
	s.requestBytes = min(s.requestBytes, int(requestHeapFraction*float64(s.heapBytes)))
	bySockets := sockets - reservedSockets/processes - s.nodeSockets
	byMemory := max(1, int(clientHeapFraction*float64(s.heapBytes)/clientBytes))
	s.overflow = min(sockets/overflowDivisor, minOverflow/processes+max(0, bySockets-byMemory))
	s.clientSockets = min(bySockets, byMemory)
	if files := c.Site.SFTP; files.Listen != "" {
		connections := files.Connections / processes
		s.clientSockets -= connections + s.nodeSockets
		s.requestBytes = max(minRequestBytes, s.requestBytes-connections*sftp.MaxPacketBytes)
	}
	s.clientSockets = max(1, s.clientSockets)
	s.volumes = int(volumeHeapFraction * float64(s.heapBytes) / volumeBytes)
	return s
}

// processors returns the number of processors that the process may use.
func processors(limits config.Limits) int {
	return max(1, int(math.Ceil(limits.Cores)))
}

// limitRuntime applies the limits to the Go runtime, except for the heap limit, which resize sets.
func limitRuntime(limits config.Limits) {
	runtime.GOMAXPROCS(processors(limits))
	if limits.MemoryMB >= largeMemoryMB {
		debug.SetGCPercent(largeGCPercent)
	} else {
		debug.SetGCPercent(gcPercent)
	}
}

// resize applies the limits of one process to the parts, given the number of processes of this broker.
func (s *service) resize(processes int) {
	size := computeSizes(s.config, processes)
	debug.SetMemoryLimit(int64(size.heapBytes))
	s.loop.Post(broker.VolumeLimitChanged{MaxVolumes: size.volumes})
	for _, nodes := range s.pools {
		nodes.Resize(size.nodeSockets)
	}
	s.clients.Resize(size.clientSockets, size.idleClients, size.overflow)
	s.clients.ResizeBudget(size.requestBytes)
	if s.files != nil {
		s.files.Resize(s.config.Site.SFTP.Connections/processes, s.config.Site.SFTP.Connections, 0)
	}
}
