package resp

import "sync"

// The sizes in bytes of the buffers of long commands. A command with the longest value and the usual options fits in
// largeCommandBytes.
const (
	mediumCommandBytes = 16 << 10
	largeCommandBytes  = maxValueBytes + readBufferBytes
)

// Buffers of commands that were rejected are used again. Clients can make a broker reject thousands of commands a
// second, and the garbage collector might free their buffers too late to stay below the memory limit.
var (
	mediumCommandBuffers = sync.Pool{New: func() any { return new([mediumCommandBytes]byte) }}
	largeCommandBuffers  = sync.Pool{New: func() any { return new([largeCommandBytes]byte) }}
)

// commandBufferSize returns the capacity in bytes of the buffer for a command of size bytes.
func commandBufferSize(size int) int {
	switch {
	case size <= mediumCommandBytes:
		return mediumCommandBytes
	case size <= largeCommandBytes:
		return largeCommandBytes
	}
	return size
}

// newCommandBuffer returns an empty buffer with a capacity that commandBufferSize returned.
func newCommandBuffer(capacity int) []byte {
	switch capacity {
	case mediumCommandBytes:
		return mediumCommandBuffers.Get().(*[mediumCommandBytes]byte)[:0]
	case largeCommandBytes:
		return largeCommandBuffers.Get().(*[largeCommandBytes]byte)[:0]
	}
	return make([]byte, 0, capacity)
}

// recycleCommandBuffer makes the buffer of a command available to other commands. The buffer must not be used after
// the call. Buffers of other sizes are ignored.
func recycleCommandBuffer(buffer []byte) {
	switch cap(buffer) {
	case mediumCommandBytes:
		mediumCommandBuffers.Put((*[mediumCommandBytes]byte)(buffer[:mediumCommandBytes]))
	case largeCommandBytes:
		largeCommandBuffers.Put((*[largeCommandBytes]byte)(buffer[:largeCommandBytes]))
	}
}
