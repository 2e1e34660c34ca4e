package metricsexport

import "time"

// yieldTime is how long the encoder pauses after each row. Higher, an interval takes longer to encode; lower,
// requests on a single core wait longer while one is encoded.
const yieldTime = 50 * time.Microsecond

// yield pauses between rows, so that on a single core no request waits until all rows are encoded, which shows as a
// latency peak at each interval. It sleeps: a goroutine that only calls runtime.Gosched stays runnable, and while any
// is, the runtime polls the network no more than every 10 ms.
func yield() { time.Sleep(yieldTime) }
