package telemetry

// Batch is one interval in a sink's encoding: frames to write in order, each as a whole.
type Batch struct{ Frames [][]byte }

func (b Batch) bytes() int {
	total := 0
	for _, frame := range b.Frames {
		total += len(frame)
	}
	return total
}

// sinkQueue contains the batches that a sink must write. It also keeps the last written batch if the sink may have to
// send that batch again.
type sinkQueue struct {
	batches   []Batch // the first batch is the one being written
	nextFrame int     // index of the next frame of batches[0]
	sent      Batch   // the last batch written on this connection, if SinkOptions.ResendLast is set
	bytes     int     // total size of batches and sent
}

func (q *sinkQueue) push(batch Batch) {
	q.batches = append(q.batches, batch)
	q.bytes += batch.bytes()
}

// shrink drops batches until the queue is within the bound: first the batch kept for sending again, then whole batches,
// the oldest first. It keeps the first batch if that batch is partly written, since the receiver would otherwise be
// left with half of a line. It returns the number of dropped batches, not counting the one kept for sending again.
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
		// The slice expression limits the capacity, so that append copies. With an append in place, the end of the
		// array would keep the memory of a batch long after the batch was written.
		q.batches = append(q.batches[:oldest:oldest], q.batches[oldest+1:]...)
		dropped++
	}
	return dropped
}

func (q *sinkQueue) forgetSent() {
	q.bytes -= q.sent.bytes()
	q.sent = Batch{}
}

// advance moves on to the next frame and reports whether the first batch was written completely. If keep is set, the
// queue keeps that batch, so that requeueSent can queue it again.
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

// requeueSent puts the last written batch back at the front of the queue. It reports whether there was such a batch.
func (q *sinkQueue) requeueSent() bool {
	if len(q.sent.Frames) == 0 {
		return false
	}
	q.batches = append([]Batch{q.sent}, q.batches...)
	q.sent = Batch{}
	return true
}

func (q *sinkQueue) frame() []byte { return q.batches[0].Frames[q.nextFrame] }
