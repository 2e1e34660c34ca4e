package conformance

import (
	"strings"
	"testing"
)

// scenarios run over both protocols. They are in the files attempts_test.go, clients_test.go and nodes_test.go.
var scenarios = []struct {
	name string
	run  func(*testbed)
}{
	{"served", testServed},
	{"rejected by a node, then served", testRejectedThenServed},
	{"a write whose answer is lost is never retried", testWriteThatLostItsAnswer},
	{"a write cut mid-transfer has at most one effect", testWriteCutMidTransfer},
	{"a write whose answer is malformed is never retried", testWriteWithCorruptAnswer},
	{"a read whose answer is malformed is retried", testReadWithCorruptAnswer},
	{"a duplicate answer is not used for another request", testDuplicateAnswer},
	{"a read whose answer is lost is retried", testReadThatLostItsAnswer},
	{"requests to silent nodes are answered in time", testSilentNode},
	{"a write to a node that refuses connections is retried", testNodeRefusesConnections},
	{"an overtaken attempt is ended before the next attempt", testOvertakenAttempt},
	{"pipelined requests are all answered", testPipelinedRequests},
	{"malformed clients are disconnected and others are served", testMalformedClients},
	{"refused commands leave the others of their connection alone", testRefusedCommands},
	{"new settings apply to new requests only", testNewSettings},
	{"requests of a disconnected client are removed", testClientDisconnects},
	{"requests admitted before a stop are answered", testGracefulStop},
	{"a draining node gets no new requests", testDrainingNode},
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
