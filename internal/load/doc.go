// Package load sends an open-loop load to a running broker and counts the outcomes of the requests.
//
// Rule. Arrivals are drawn in advance from a seed and do not wait for answers. Latency is measured from the time at
// which a request was intended to be sent. Therefore the measured latencies include all requests that arrive while the
// broker is stalled (there is no "coordinated omission").
//
// State and owner. Run owns the state of a run: the goroutine that sends in the order of arrival, one goroutine per
// request in flight, and the connections. Run returns after all of them have ended. Cancellation of the context stops
// only the sending; Run still waits for the answers to the requests in flight. One lock guards the counts until Run
// returns.
//
// Units. Times are time.Duration from the start of the run, latencies in histograms are µs, and rates are requests a
// second.
package load
