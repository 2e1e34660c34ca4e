package console

// The words that answers begin or end with, and the calls. Operators' programs and ONCALL.md know them.
const (
	success = "SUCCESS"
	failure = "FAILURE"
	end     = "EOT"

	checkCall       = "check"
	varsCall        = "vars"
	nodesCall       = "nodes"
	agreementPrefix = "agree "
)

// Handlers are the functions behind the calls. Those but Agree must not block.
type Handlers struct {
	Check func() error             // nil if clients are accepted
	Vars  func() []byte            // the figures, in lines
	Nodes func() []byte            // the storage nodes and the sources of their list, in lines; nil for no such call
	Agree func(call string) []byte // agree calls, which may take AgreementTimeout; nil for no such call
}

// answer is the whole answer to a call; readError is of one that is incomplete.
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

// withEnd adds the line that ends an answer of several lines.
func withEnd(lines []byte) []byte {
	return append(lines, end+"\n"...)
}
