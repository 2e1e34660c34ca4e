// Package scheduler decides for one broker which request is sent to which storage node, and when. It queues,
// admits, places and retries requests, and rejects those that it cannot serve in time. It reads no clock,
// does no I/O and starts no goroutine: its caller passes the events of one point in time to Scheduler.Reduce
// and carries out the returned actions. Equal events give equal actions.
//
// The path of a request, with the file of each rule:
//
//	Request event
//	   |
//	arrival.go     first arrival, soft deadline and value of the request
//	placement.go   shard of a new object
//	   |
//	queue.go       queue of its shard, earliest soft deadline first <-----------------------------+
//	scan.go        three passes: paid, overdraft, deprioritized (shedding.go)                     |
//	   |                                                                                          |
//	tokens.go      token bucket of its volume (equations 11 and 12, capacity.go, demand.go)       |
//	limit.go       quota of its volume's rate limit                                               |
//	ordering.go    order of arrival among requests with one key                                   |
//	   |                                                                                          |
//	selection.go   choice of a node: ready, below its limit (concurrency.go), not backing off     |
//	   |           (health.go), within its slow-start budget (slowstart.go) and its key's scope   |
//	   |                                                                                          |
//	Forward action                                                                                |
//	   |                                                                                          |
//	AttemptEnded   health.go updates the node's health; lost.go cancels late and lost attempts    |
//	   |           and fails over                                                                 |
//	retry.go       may the request run again? -- yes ---------------------------------------------+
//	   |           no
//	giveup.go      final answer: Reject or Fail. Package broker passes on a node's own answer and
//	               reports that with AttemptEnded.Finished (retry.go, finish)
//
// A timer ends each tick. A tick lasts a sixth of the smallest latency objective. At its end the scheduler
// refills the token buckets, sends gossip about demand, adjusts the concurrency limits of nodes,
// deprioritizes requests that cannot be in time and drops expired state (memory.go). endpoints.go applies the
// endpoint list.
//
// Two functions enforce a request's deadline. giveUpExpired answers the request shortly before its deadline.
// At the deadline, handleDeadline of package broker answers every request that has no answer yet, whether the
// request is queued or in flight.
//
// Vocabulary without a rule. The platform's files and protocol define settings, events and actions that no
// rule of this version reads or emits. Changing them does not affect any decision. They are:
//   - of Class: ObjectiveStretch, LateWeight, Stream; Plan.Weight; Settings.MeterPeriod
//   - of Capabilities: HealthChecks, HedgedRequests; of Rules: AnswerSlack, DrainGrace
//   - of events: Request.Write, EndpointUpdate.Version, Endpoint.Kind, HealthCheckResult, and of
//     AttemptEnded: RateUsed, ServedElsewhere, Load
//   - of actions: HealthCheck, FetchEndpoints, CloseIdleConnections, Forward.Timeout
//
// Units. Time is a duration on the caller's clock. A "unit" measures the size of requests. A time in a
// float64 field is in seconds. A time in ticks is an integer.
//
// State and its owner. Scheduler owns all state and is not safe for concurrent use: only the goroutine of the
// broker's loop calls it. State is not stored. After a restart a Scheduler has only its settings, and each
// rule starts with cautious assumptions.
//
// Cost. The cost of a tick depends on the broker's own requests, not on the size of the fleet: a tick
// processes volumes with requests or demand reports, and nodes with attempts or recent answers.
package scheduler
