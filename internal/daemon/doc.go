// Package daemon builds a broker from its parts, and starts, reloads, hands over and stops it. It makes no load
// balancing or admission decisions.
//
//	sizing.go       limits of a process: sockets, memory, requests
//	wiring.go       calls the constructors in order and connects the parts
//	subsystems.go   the list of parts, which are started in order and stopped in reverse order
//	lifecycle.go    Serve: start, wait for SIGTERM or a failure, stop
//	reload.go       SIGHUP: which settings change while the broker runs
//	handover.go     two processes of one broker during an upgrade
//	shutdown.go     SIGTERM: until when requests are accepted and answered
//	control.go      the part of a broker that carries no requests; ServeControl and ServeHollow run it alone
//
// State: a service owns the servers, the connection pools and the listeners; its control owns the core's loop and
// everything that posts events to the loop. Neither outlives the process. What survives a restart is in the snapshot
// of package members and in the voter's state of package agreement.
//
// Goroutines: a goroutine that a subsystem starts ends with the context that stop cancels (subsystems.go). Goroutines
// that serve a port end when the port is closed.
//
// Units: durations are time.Duration. Memory is in bytes, except for the setting memory_mb, which is in MiB.
package daemon
