package graphite

import "strconv"

const (
	// maxFrame bounds a frame over TCP: a sink counts it as written whole or not at all. Higher, more is sent again
	// after a lost connection; lower, an interval takes more writes.
	maxFrame = 4 << 10
	// maxDatagram is what an Ethernet frame of 1,500 bytes holds beside the headers of IPv6 and UDP, with 20 bytes to
	// spare. Higher, datagrams are fragmented and lost more often; lower, an interval takes more of them.
	maxDatagram = 1432
	// frameSlack is what a frame may hold beside its points: the head and the end of a batch.
	frameSlack = 16
)

// Point is one value of a series.
type Point struct {
	Path  Path
	Value uint64
}

// Writer encodes points, one after the other, into frames.
type Writer struct {
	prefix    string
	naming    Naming
	timestamp int64 // Unix seconds
	limit     int   // bytes of a frame
	pickle    bool

	frames [][]byte // complete ones
	frame  []byte   // the one in progress
	points int      // of frame
	item   []byte   // the point in progress; its memory is used again
}

// NewPlaintext returns a writer of lines, in frames of whole lines. With datagrams, a frame fits into a datagram.
func NewPlaintext(prefix string, naming Naming, timestamp int64, datagrams bool) *Writer {
	w := &Writer{prefix: prefix, naming: naming, timestamp: timestamp, limit: maxFrame}
	if datagrams {
		w.limit = maxDatagram
	}
	return w
}

// NewPickle returns a writer of batches of [(path, (timestamp, value)), ...], a frame each.
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

// Frames ends the last frame and returns all.
func (w *Writer) Frames() [][]byte {
	w.endFrame()
	return w.frames
}
