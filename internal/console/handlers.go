package console

// Words that begin or end answers, and names of calls. Operators' programs and ONCALL.md use them.
const (
	success = "SUCCESS"
	failure = "FAILURE"
	end     = "EOT"

	checkCall       = "check"
	varsCall        = "vars"
	nodesCall       = "nodes"
	agreementPrefix = "agree "
)

// Handlers are the functions that answer the calls. Only Agree may block.
type Handlers struct {
	Check func() error             // returns nil if clients are accepted
	Vars  func() []byte            // returns the metrics, one per line
	Nodes func() []byte            // returns the storage nodes and the sources of their list; nil if unsupported
	Agree func(call string) []byte // answers an agree call, within AgreementTimeout; nil if unsupported
}

// answer returns the whole answer to a call other than agree. readError is not nil if the line was too long.
func (h Handlers) answer(call string, readError error) []byte {
	switch {
	case readError != nil:
		return failureLine("the line is too long")
	case call == checkCall:
		if err := h.Check(); err != nil {
			return failureLine(err.Error())
		}
		return []byte(success + "\n")
	case call == varsCall:
		return withEnd(h.Vars())
	case call == nodesCall && h.Nodes != nil:
		return withEnd(h.Nodes())
	}
	return failureLine("unknown call: check or vars")
}

func failureLine(reason string) []byte {
	return []byte(failure + " " + reason + "\n")
}

// withEnd appends the line that ends an answer of several lines.
func withEnd(lines []byte) []byte {
	return append(lines, end+"\n"...)
}
