// Package scheduler decides when one broker sends which request to which storage node. It queues, admits,
// places, retries and gives up requests. It reads no clock, does no I/O and starts no goroutine: its owner
// calls Scheduler.Reduce with the events of one point in time and carries the returned actions out. Equal
// events give equal actions.
//
// The way of a request, with the file of each rule:
//
//	Request event
//	   |
//	arrival.go     first arrival of its client, soft deadline, value
//	placement.go   shard of a new object
//	   |
//	queue.go       queued at its shard, earliest soft deadline first <-----------------------------+
//	scan.go        three passes: paid, in overdraft, deprioritized (shedding.go)                  |
//	   |                                                                                          |
//	tokens.go      token bucket of its volume (equations 11 and 12, capacity.go, demand.go)       |
//	limit.go       quota of its volume's rate limit                                               |
//	ordering.go    requests with one key in the order of arrival                                  |
//	   |                                                                                          |
//	selection.go   the node: ready, below its limit (concurrency.go), not backing off (health.go),|
//	   |           inside its slow-start budget (slowstart.go), in the scope of its key           |
//	   |                                                                                          |
//	Forward action                                                                                |
//	   |                                                                                          |
//	AttemptEnded   health.go learns from it; lost.go cancels what is late or lost, and fails over |
//	   |                                                                                          |
//	retry.go       may it run again? -- yes ------------------------------------------------------+
//	   |           no
//	giveup.go      final answer: Reject or Fail; a node's own answer is passed on by package broker, which
//	               says so with AttemptEnded.Finished (retry.go, finish)
//
// A timer ends each tick, which is a sixth of the smallest latency objective: it refills the token buckets,
// gossips demand, adjusts the limits of nodes, deprioritizes what can't be in time and forgets what
// is over (memory.go). endpoints.go applies the endpoint list.
//
// A deadline is guarded twice: giveUpExpired answers a little before it, and package broker's handleDeadline
// answers at it whatever has not been answered, be it in flight or queued.
//
// Vocabulary without a rule. The platform's files and protocol have settings, events and actions that no rule
// of this version reads or emits; changing them has no effect on a decision. They are:
//   - of Class: ObjectiveStretch, LateWeight, Stream; Plan.Weight; Settings.MeterPeriod
//   - of Capabilities: HealthChecks, HedgedRequests; of Rules: AnswerSlack, DrainGrace
//   - of events: Request.Write, EndpointUpdate.Version, Endpoint.Kind, HealthCheckResult, and of
//     AttemptEnded: RateUsed, ServedElsewhere, Load
//   - of actions: HealthCheck, FetchEndpoints, CloseIdleConnections, Forward.Timeout
//
// Units. Time is a duration on the caller's clock. A "unit" is the size of requests. Fields that are float64
// and hold a time are in seconds. A tick is a count.
//
// State and its owner. Scheduler owns all state and is not safe for concurrent use: one goroutine, the
// broker's loop, calls it. Nothing is stored: after a restart it knows its settings only, and each rule
// starts on the safe side.
//
// What it costs follows the broker's own requests, not the fleet: a tick works on volumes with requests or
// reports, and on nodes with attempts or recent answers.
package scheduler
