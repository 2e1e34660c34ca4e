package telemetry

// Batch is one interval as a sink takes it: frames that are written one after the other, each whole.
type Batch struct{ Frames [][]byte }

func (b Batch) bytes() int {
	total := 0
	for _, frame := range b.Frames {
		total += len(frame)
	}
	return total
}

// sinkQueue holds the batches that a sink has to write, and the one it wrote last if that may have to be sent again.
type sinkQueue struct {
	batches   []Batch // the first of them is the one being written
	nextFrame int     // of batches[0]
	sent      Batch   // the last batch written on this connection, where Options.ResendLast is set
	bytes     int     // of batches and sent together
}

func (q *sinkQueue) push(batch Batch) {
	q.batches = append(q.batches, batch)
	q.bytes += batch.bytes()
}

// shrink drops what is beyond the bound: first the batch kept for a repetition, then whole batches, the oldest first.
// It keeps the first batch if that is partly written: its receiver would be left with half a line. It returns how many
// were dropped.
func (q *sinkQueue) shrink(maxBytes int, writing bool) (dropped uint64) {
	if q.bytes > maxBytes {
		q.forgetSent()
	}
	for q.bytes > maxBytes {
		oldest := 0
		if writing || q.nextFrame > 0 {
			oldest = 1
		}
		if oldest >= len(q.batches) {
			return dropped
		}
		q.bytes -= q.batches[oldest].bytes()
		// The capacity is cut, so that append copies: in place, the end of the array would keep the memory of a batch
		// that has long been written.
		q.batches = append(q.batches[:oldest:oldest], q.batches[oldest+1:]...)
		dropped++
	}
	return dropped
}

func (q *sinkQueue) forgetSent() {
	q.bytes -= q.sent.bytes()
	q.sent = Batch{}
}

// advance moves on to the next frame and tells whether the first batch was written whole. keep keeps that batch, so
// that requeueSent can send it again.
func (q *sinkQueue) advance(keep bool) (batchWritten bool) {
	q.nextFrame++
	if q.nextFrame < len(q.batches[0].Frames) {
		return false
	}
	written := q.batches[0]
	q.batches = q.batches[1:]
	q.nextFrame = 0
	q.forgetSent()
	if keep {
		q.sent = written
	} else {
		q.bytes -= written.bytes()
	}
	return true
}

// requeueSent puts the batch that was written last back in front, and tells whether there was one.
func (q *sinkQueue) requeueSent() bool {
	if len(q.sent.Frames) == 0 {
		return false
	}
	q.batches = append([]Batch{q.sent}, q.batches...)
	q.sent = Batch{}
	return true
}

func (q *sinkQueue) frame() []byte { return q.batches[0].Frames[q.nextFrame] }
