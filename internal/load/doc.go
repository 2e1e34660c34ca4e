// Package load sends an open-loop load to a running broker and counts what becomes of it.
//
// Rule. Arrivals are drawn ahead from a seed and do not wait for answers, and latency counts from the time at which a
// request was to be sent. So a broker that stalls is not spared the requests that it would have met meanwhile
// ("coordinated omission").
//
// State and owner. Run owns a run: the goroutine that sends in the order of arrival, one goroutine for each request in
// flight, and the connections. It returns once all of them have ended; the context ends the sending only, answers that
// are owed are waited for. Counts are guarded by one lock until then.
//
// Units. Times are time.Duration from the start of the run, latencies in histograms are µs, rates are requests a
// second.
package load
