// Package broker is the core of junctionwharf: it takes requests, sends attempts to storage nodes as package
// scheduler decides, and gives each request one final answer. It knows no wire: protocol servers bring requests in
// through a Loop, and a Transport carries attempts out.
//
// # Rule
//
// A request that was submitted gets exactly one final answer, at its deadline plus a small grace at the latest. An
// attempt that may have run is never sent again unless its class is idempotent, and a request has one attempt in
// flight at a time.
//
// # Shape
//
// State is the decision core: events in, effects out, time as an argument. It does no I/O and reads no clock, so the
// daemon, the simulator and the tests run the same code. Loop is its driver: it queues events, reads the clock once a
// turn, carries out the effects through the transports and feeds what came of them back as events.
//
//	RequestArrived -> State -> scheduler -> StartAttempt -> Transport
//	AttemptEnded   -> State -> scheduler -> Respond      -> the client's reply function
//
// # Owner
//
// One goroutine, that of Loop.Run, owns State, the waiting clients and the transport handles. Other goroutines reach
// them by events only; what they share with the loop (the inbox) is guarded by inbox.mu, and metrics are atomics.
//
// # Units
//
// Times are Micros: whole microseconds of the monotonic clock. Request.Units are the deployment's units of work.
package broker
