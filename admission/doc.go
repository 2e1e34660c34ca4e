// Package admission decides which requests a broker admits when it is offered more than it can do: the others are
// rejected at once, by the cheapest path there is, so that those that are admitted are served in time.
//
// # Rule
//
// The sign of overload is the scheduling lag of the broker: how long what could run waits for a processor, or an
// event for the loop. A request waits for as long several times. Time is cut into windows. While the lag stays above
// its target the controller admits fewer requests from window to window, and more again once it is below: additive
// increase, multiplicative decrease. ("Overload control for scaling WeChat microservices", Zhou et al. 2018, does so
// by priorities.)
//
// Requests are ranked: those within the reserved capacity of their volume come before any other, then the priority
// weight of their class counts. Ranks are admitted from the first on; of the last that has a share left, an even part
// is.
//
// Two bounds on open requests also apply, one always and one only while the broker itself is overloaded.
//
// # State and owner
//
// A Controller holds it all, in memory alone: after a restart it begins by admitting everybody. It does no I/O, is
// handed the clock, and is not safe for concurrent use: broker.Loop owns it and guards it by its inbox lock.
//
// # Units
//
// Times are Micros, lags too; an allowance is a number of requests a window; reserved capacity is in units of work a
// second.
package admission
