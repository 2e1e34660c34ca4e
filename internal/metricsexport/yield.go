package metricsexport

import "time"

// yieldTime is how long the encoder pauses after each row. Higher, an interval of 2,000 series takes longer to encode;
// lower, the pause is no longer than the runtime's own timer resolution and has no effect.
const yieldTime = 50 * time.Microsecond

// yield pauses between rows, so that on a single core no request waits until all rows are encoded, which shows as a
// latency peak at each interval. It sleeps: a goroutine that only calls runtime.Gosched stays runnable, and while any
// is, the runtime polls the network no more than every 10 ms.
func yield() { time.Sleep(yieldTime) }
