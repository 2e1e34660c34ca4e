// Package daemon puts the parts of a broker together, and starts, reloads, hands over and stops them. It holds no
// decisions.
//
//	sizing.go       what a process may use of the machine: sockets, memory, requests
//	wiring.go       the constructors, called in order; who calls whom
//	subsystems.go   the list in which parts are started, and stopped in reverse
//	lifecycle.go    Serve: start, wait for SIGTERM or a failure, stop
//	reload.go       SIGHUP: which settings change while the broker runs
//	handover.go     two processes of one broker during an upgrade
//	shutdown.go     SIGTERM: who gets an answer until when
//	control.go      the part of a broker that carries no requests; ServeControl and ServeHollow run it alone
//
// State: a service owns the servers, the connection pools and the listeners; its control owns the core's loop and all
// that informs it. Neither outlives the process: what a restart keeps is in the snapshot of package members and in
// the voter's state of package agreement.
//
// Goroutines: subsystems.go says who ends them. All but the caller of Serve end with the context that stop cancels.
//
// Units: durations are time.Duration, memory is in bytes, but for the configuration's memory_mb, in MiB.
package daemon
