package metricsexport

import "time"

// yieldTime is how long the encoder pauses after each row. With a longer pause, encoding an interval takes longer. With
// a shorter pause, requests on a single core wait longer during the encoding.
const yieldTime = 50 * time.Microsecond

// yield pauses between rows. Without the pause, requests on a single core would wait until all rows are encoded, which
// shows as a latency peak at each interval. It sleeps because a goroutine that only calls runtime.Gosched stays
// runnable, and while any goroutine is runnable, the runtime polls the network only every 10 ms.
func yield() { time.Sleep(yieldTime) }
