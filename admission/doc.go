// Package admission decides which requests a broker admits when it is offered more than it can handle. The other
// requests are rejected immediately and at low cost, so that admitted requests are served in time.
//
// # Rule
//
// The controller detects overload by the broker's scheduling lag: the time that runnable work waits for a processor,
// or an event for the loop. A request waits this long several times. Time is divided into windows, and the allowance is
// the number of requests admitted per window. While the lag is above its target, the controller cuts the allowance by a
// factor every few windows. While the lag is below its target, the controller raises the allowance in each window.
// ("Overload control for scaling WeChat microservices", Zhou et al. 2018, applies this method to priorities.)
//
// Requests are ranked: requests within the reserved capacity of their volume precede all others, and then the priority
// weight of their class decides. Ranks are admitted in order. The rank at which the allowance is used up is admitted in
// part, and its admitted requests are spread evenly.
//
// There are also two bounds on open requests. One always applies, and the other applies only while the broker itself is
// overloaded.
//
// # State and owner
//
// A Controller keeps all state in memory. After a restart it admits all requests at first. It does no I/O, receives
// the time as an argument, and is not safe for concurrent use: broker.Loop owns it and guards it with its inbox lock.
//
// # Units
//
// Times and lags are Micros. An allowance is a number of requests per window. Reserved capacity is in units of work
// per second.
package admission
