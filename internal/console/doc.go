// Package console is the admin server of a broker and its client. A connection carries one line, the call, and receives
// one answer. The calls are check, vars, nodes and agree; docs/oncall-daily.md lists them for operators.
//
// State: a Server owns its listener and at most maxConnections connections whose call is not answered yet. All of it
// ends with the process.
//
// Goroutines: the caller runs Serve, which starts one goroutine for each connection. Close ends Serve. The deadlines of
// a connection end the goroutine of the connection.
//
// An answer is either one line that begins with SUCCESS or FAILURE, or several lines, the last of which is EOT.
package console
