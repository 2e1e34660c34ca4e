// Package console is the admin server of a broker and its client: a connection carries one line, the call, and gets one
// answer. The calls are check, vars, nodes and agree; docs/oncall-daily.md lists them for operators.
//
// State: a Server owns its listener and the connections whose call is not answered yet, at most maxConnections of
// them; all of it ends with the process. Serve runs in a goroutine of the caller and one for each connection; Close
// ends Serve, the deadlines of a connection end the rest.
//
// An answer is either one line that begins with SUCCESS or FAILURE, or lines that end with a line EOT.
package console
