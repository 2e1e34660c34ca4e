package conformance

import (
	"strings"
	"testing"
)

// scenarios are played over both protocols. The files attempts_test.go, clients_test.go and nodes_test.go hold them.
var scenarios = []struct {
	name string
	run  func(*testbed)
}{
	{"served", testServed},
	{"rejected by a node, then served", testRejectedThenServed},
	{"a write that ran and lost its answer is never retried", testWriteThatLostItsAnswer},
	{"a write cut mid-transfer has at most one effect", testWriteCutMidTransfer},
	{"a write whose answer is corrupt is never retried", testWriteWithCorruptAnswer},
	{"a read whose answer is corrupt is retried", testReadWithCorruptAnswer},
	{"a duplicate of an answer answers no other request", testDuplicateAnswer},
	{"a read that lost its answer is retried", testReadThatLostItsAnswer},
	{"silence ends in an answer before the deadline", testSilentNode},
	{"a node that refuses connections has run nothing", testNodeRefusesConnections},
	{"an attempt that later ones overtook is ended before the next", testOvertakenAttempt},
	{"requests behind one another are all answered", testPipelinedRequests},
	{"malformed clients end in time and cost the others nothing", testMalformedClients},
	{"new settings hold for what comes, and requests under way keep their class", testNewSettings},
	{"a client that disconnects frees its requests", testClientDisconnects},
	{"what was admitted before a stop is answered", testGracefulStop},
	{"a draining node gets nothing new", testDrainingNode},
	{"a node that has just started is not overloaded", testSlowStart},
}

// TestRules runs each scenario over both protocols with the same checks.
func TestRules(t *testing.T) {
	for _, s := range scenarios {
		for _, p := range []protocol{respProtocol{}, newSFTPProtocol()} {
			t.Run(strings.ReplaceAll(s.name, " ", "_")+"/"+p.name(), func(t *testing.T) {
				t.Parallel()
				s.run(newTestbed(t, p))
			})
		}
	}
}
