// Package scheduler decides for one broker which request is sent to which storage node, and when. It queues,
// admits, places and retries requests, and rejects those that it cannot serve in time. It reads no clock,
// does no I/O and starts no goroutine: its caller passes the events of one point in time to Scheduler.Reduce
// and carries out the returned actions. With equal settings, seeds, times and events the actions are equal.
//
// Admission follows E. Pencheva and I. Atanasov, "Dynamic Admission Control for Improving Utilization of
// Parlay X Gateway". "Equation 11" and "equation 12" in this package are the equations of that paper:
// equation 11 gives the available capacity, and equation 12 gives the tokens that a volume is granted.
//
// The path of a request, with the file of each rule:
//
//	Request event
//	   |
//	arrival.go     first arrival, soft deadline and value of the request
//	placement.go   shard of a new object
//	   |
//	queue.go       queue of its shard, earliest soft deadline first <-----------------------------+
//	scan.go        three passes: requests covered by their volume's tokens, requests with         |
//	   |           overdraft, deprioritized requests (shedding.go)                                |
//	   |                                                                                          |
//	tokens.go      token bucket of its volume (equation 12; equation 11 is in capacity.go, the    |
//	   |           demand at other brokers in demand.go)                                          |
//	limit.go       quota of its volume's rate limit                                               |
//	ordering.go    order of arrival among requests with one key                                   |
//	   |                                                                                          |
//	selection.go   choice of a node: ready, below its limit (concurrency.go), not backing off     |
//	   |           (health.go), within its slow-start budget (slowstart.go) and within the scope  |
//	   |           of the request's idempotency key (placement.go)                                |
//	   |                                                                                          |
//	Forward action                                                                                |
//	   |                                                                                          |
//	AttemptEnded   health.go updates the node's health. While an attempt is in flight, each tick  |
//	   |           checks in lost.go whether to cancel it or to fail over.                        |
//	retry.go       may the request run again? -- yes ---------------------------------------------+
//	   |           no
//	giveup.go      final answer: Reject or Fail. After a success, package broker has already
//	               answered the client and sets AttemptEnded.Finished: the request only ends.
//
// Terms. Request.Units is the size of a request. The first arrival of a request is the time at which its
// client first sent it: a repeat of an unserved request keeps the first arrival of that request. The soft
// deadline is the first arrival plus the latency objective of the class, or the deadline if that is earlier.
// The value of a request weighs it against other requests when not all of them can be in time.
//
// A timer ends each tick. A tick lasts a sixth of the smallest latency objective. At its end the scheduler
// refills the token buckets, sends gossip about demand, adjusts the concurrency limits of nodes,
// deprioritizes requests if not all queued requests can be in time, and drops expired state (memory.go).
// endpoints.go applies the endpoint list.
//
// Two functions enforce a request's deadline. giveUpExpired answers a queued request shortly before its
// deadline. At the deadline, handleDeadline of package broker answers a request without an attempt in
// flight. If an attempt is in flight, it stops the attempt, whose outcome then determines the answer.
//
// Unused settings, events and actions. The platform's files and protocol define some that no rule of this
// version reads or emits. Changing them does not affect any decision. They are:
//   - of Class: ObjectiveStretch, LateWeight, Stream; Plan.Weight; Settings.MeterPeriod
//   - of Capabilities: HealthChecks, HedgedRequests; of Rules: AnswerSlack, DrainGrace
//   - of events: Request.Write, EndpointUpdate.Version, Endpoint.Kind, HealthCheckResult, and of
//     AttemptEnded: RateUsed, ServedElsewhere, Load
//   - of actions: HealthCheck, FetchEndpoints, CloseIdleConnections, Forward.Timeout
//
// Units. A Time is a point on the caller's clock, given as the duration since a fixed start. A time in a
// float64 field is in seconds. A time in ticks is an integer.
//
// State and its owner. Scheduler owns all state and is not safe for concurrent use: only the goroutine of the
// broker's loop calls it. State is not stored. After a restart a Scheduler has only its settings, and each
// rule starts with cautious assumptions.
//
// Cost. The cost of a tick depends mainly on the broker's own requests, not on the size of the fleet: a tick
// processes volumes with requests or demand reports, and nodes with attempts, recent answers or high latency.
package scheduler
