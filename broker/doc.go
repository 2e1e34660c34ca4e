// Package broker is the core of junctionwharf. It accepts requests, sends attempts to the storage nodes that package
// scheduler chooses, and answers each request once. It knows no wire protocol: protocol servers submit requests to a
// Loop, and a Transport sends the attempts.
//
// # Rule
//
// A submitted request gets at most one final answer. It gets none if its client disconnects first. A request that a
// panic concerned fails (see recovery.go). The answer comes at the latest shortly after the deadline (see answerGrace).
// A request that may have run is sent again only if its class is idempotent or, for a class that is idempotent with a
// key, within the idempotency window: the time in which nodes drop repeats of the key. A request has at most one attempt
// in flight.
//
// # Shape
//
// State is the decision core: it turns events into effects, with the time as an argument. It does no I/O and reads no
// clock, so the daemon, the simulator and the tests run the same code. Loop drives the State: it queues events, reads
// the clock once a turn, executes the effects through the transports and feeds the results back as events.
//
//	RequestArrived -> State -> scheduler -> StartAttempt -> Transport
//	AttemptEnded   -> State -> scheduler -> Respond      -> the client's reply function
//
// # Owner
//
// The goroutine of Loop.Run owns the State, the registered clients and the transport handles. Other goroutines
// communicate with the loop by events only. inbox.mu guards the state that they share with the loop (the inbox), and
// metrics are atomics.
//
// # Units
//
// Times are Micros: whole microseconds of the monotonic clock. Request.Units is the size of a request.
package broker
