// Package broker is the core of junctionwharf. It accepts requests, sends attempts to the storage nodes that package
// scheduler chooses, and gives each request one final answer. It knows no wire protocol: protocol servers submit
// requests to a Loop, and a Transport sends the attempts.
//
// # Rule
//
// A submitted request gets exactly one final answer, not later than a short grace after its deadline. An attempt that
// may have run is never repeated unless its class is idempotent. A request has at most one attempt in flight.
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
// Times are Micros: whole microseconds of the monotonic clock. Request.Units are the deployment's units of work.
package broker
