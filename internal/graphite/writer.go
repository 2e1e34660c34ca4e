package graphite

import "strconv"

const (
	// maxFrame bounds the size of a frame over TCP. A sink writes a frame as a whole, within a time-out. With a
	// larger bound, a slow sink reaches the time-out for a frame sooner. With a smaller bound, an interval needs more
	// writes.
	maxFrame = 4 << 10
	// maxDatagram is the size of an Ethernet frame, 1,500 bytes, minus the headers of IPv6 and UDP and 20 spare
	// bytes. With a larger bound, datagrams are fragmented and lost more often. With a smaller bound, an interval
	// needs more datagrams.
	maxDatagram = 1432
	// frameSlack is extra capacity of a frame for the head and the end of a batch.
	frameSlack = 16
)

// Point is one value of a series.
type Point struct {
	Path  Path
	Value uint64
}

// Writer encodes points into frames.
type Writer struct {
	prefix    string
	naming    Naming
	timestamp int64 // Unix seconds
	limit     int   // maximum size of a frame in bytes
	pickle    bool

	frames [][]byte // complete frames
	frame  []byte   // the frame in progress
	points int      // number of points in frame
	item   []byte   // encoding of the current point; its memory is reused
}

// NewPlaintext returns a writer of plaintext lines. Frames contain whole lines. If datagrams is set, each frame fits
// into a datagram, except for a single line that is longer.
func NewPlaintext(prefix string, naming Naming, timestamp int64, datagrams bool) *Writer {
	w := &Writer{prefix: prefix, naming: naming, timestamp: timestamp, limit: maxFrame}
	if datagrams {
		w.limit = maxDatagram
	}
	return w
}

// NewPickle returns a writer of pickled batches [(path, (timestamp, value)), ...], one batch to a frame.
func NewPickle(prefix string, naming Naming, timestamp int64) *Writer {
	return &Writer{prefix: prefix, naming: naming, timestamp: timestamp, limit: maxFrame, pickle: true}
}

// Add encodes a point.
func (w *Writer) Add(p Point) {
	if w.pickle {
		w.item = w.appendPickledPoint(w.item[:0], p)
	} else {
		w.item = w.appendLine(w.item[:0], p)
	}
	if w.points > 0 && !w.fits(len(w.item)) {
		w.endFrame()
	}
	if w.points == 0 {
		w.beginFrame()
	}
	w.frame = append(w.frame, w.item...)
	w.points++
}

// appendLine appends "PATH VALUE TIMESTAMP" and a line feed.
func (w *Writer) appendLine(b []byte, p Point) []byte {
	b = w.naming.Append(b, w.prefix, p.Path)
	b = append(b, ' ')
	b = strconv.AppendUint(b, p.Value, 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, w.timestamp, 10)
	return append(b, '\n')
}

func (w *Writer) fits(bytes int) bool {
	if w.pickle && w.points >= maxBatch {
		return false
	}
	return len(w.frame)+bytes <= w.limit
}

func (w *Writer) beginFrame() {
	w.frame = make([]byte, 0, w.limit+len(w.item)+frameSlack)
	if w.pickle {
		w.frame = appendBatchHead(w.frame)
	}
}

func (w *Writer) endFrame() {
	if w.points == 0 {
		return
	}
	if w.pickle {
		w.frame = endBatch(w.frame)
	}
	w.frames = append(w.frames, w.frame)
	w.frame = nil
	w.points = 0
}

// Frames completes the last frame and returns all frames.
func (w *Writer) Frames() [][]byte {
	w.endFrame()
	return w.frames
}
