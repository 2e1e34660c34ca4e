// Package discovery follows the list of storage nodes by HTTP long polling.
//
// The rule: a drain that discovery announces is known to the broker within the settings' drain grace, whatever polls
// are lost meanwhile; pollTimeouts derives the timeouts from that. A list that is older than the one held is not
// applied, but the nodes that it shows as draining get no new requests.
//
// State: a Watcher owns the address, the version of the latest list and the full list as it is now. Run is its one
// goroutine and ends with its context. A restart loses the list, but for what a handover or the configuration's known
// list passes on.
//
// Units: versions count changes at the service; times in a list are milliseconds of the service's clock.
package discovery
