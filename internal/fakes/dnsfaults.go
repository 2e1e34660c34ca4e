package fakes

import (
	"strings"
	"time"

	"github.com/miekg/dns"
)

// DNSFault is what is wrong with a name server's answers.
type DNSFault int

// The faults of a name server.
const (
	NoDNSFault     DNSFault = iota
	NoAnswer                // no answer
	LateAnswer              // an answer after LateAnswerDelay
	ServFail                // SERVFAIL
	Refused                 // REFUSED
	NameError               // NXDOMAIN
	NoData                  // no error and no records
	Truncated               // truncated by UDP, complete over TCP
	TruncatedNoTCP          // truncated by UDP, and TCP connections that end without an answer
	WrongID                 // the id of another query
	Spoofed                 // a false answer to another question first, then the true one
	Malformed               // bytes that are no message
	CNAMELoop               // CNAMEs in a circle
	EveryThird              // every third query is answered
)

// LateAnswerDelay is how long a late answer takes: longer than a resolver's first attempt, shorter than all of them.
const LateAnswerDelay = 300 * time.Millisecond

// responseCodes are those of faults that are an answer without records.
var responseCodes = map[DNSFault]int{
	ServFail:  dns.RcodeServerFailure,
	Refused:   dns.RcodeRefused,
	NameError: dns.RcodeNameError,
	NoData:    dns.RcodeSuccess,
}

// ServeDNS implements dns.Handler.
func (d *DNS) ServeDNS(w dns.ResponseWriter, query *dns.Msg) {
	d.queries.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered++
	overTCP := strings.HasPrefix(w.RemoteAddr().Network(), "tcp")
	if d.withheld(w, query, overTCP) {
		return
	}
	msg := d.faultyAnswer(w, query, overTCP)
	if !overTCP && !d.truncates() {
		msg.Truncate(maxUDPSize(query))
	}
	_ = w.WriteMsg(msg) // a resolver that has gone needs no answer
}

// truncates reports whether the fault is one that cuts answers by UDP short; d.mu is held.
func (d *DNS) truncates() bool { return d.fault == Truncated || d.fault == TruncatedNoTCP }

// withheld carries out the faults that do not answer, or not now, and reports whether it was one; d.mu is held.
func (d *DNS) withheld(w dns.ResponseWriter, query *dns.Msg, overTCP bool) bool {
	switch d.fault {
	case NoAnswer:
		return true
	case EveryThird:
		return d.answered%3 != 0
	case LateAnswer:
		msg := d.answer(query)
		time.AfterFunc(LateAnswerDelay, func() { _ = w.WriteMsg(msg) })
		return true
	case TruncatedNoTCP:
		if overTCP {
			_ = w.Close()
		}
		return overTCP
	case Malformed:
		_, _ = w.Write([]byte{1, 2, 3})
		return true
	default:
		return false
	}
}

// faultyAnswer is the answer as the fault makes it; d.mu is held.
func (d *DNS) faultyAnswer(w dns.ResponseWriter, query *dns.Msg, overTCP bool) *dns.Msg {
	switch d.fault {
	case ServFail, Refused, NameError, NoData:
		return emptyAnswer(query, responseCodes[d.fault])
	case CNAMELoop:
		return loopAnswer(query)
	}
	msg := d.answer(query)
	switch d.fault {
	case Truncated, TruncatedNoTCP:
		if !overTCP {
			msg.Truncated = true
			msg.Answer = msg.Answer[:min(1, len(msg.Answer))]
			msg.Extra = nil
		}
	case WrongID:
		msg.Id++
	case Spoofed:
		spoofed := msg.Copy()
		spoofed.Question[0].Name = "evil.example.org."
		spoofed.Answer = nil
		_ = w.WriteMsg(spoofed)
	}
	return msg
}

// emptyAnswer is an answer without records.
func emptyAnswer(query *dns.Msg, responseCode int) *dns.Msg {
	msg := new(dns.Msg)
	msg.SetRcode(query, responseCode)
	msg.Ns = []dns.RR{mustRecord(negativeSOA)}
	return msg
}

// loopAnswer is an answer whose CNAMEs lead back to its question.
func loopAnswer(query *dns.Msg) *dns.Msg {
	name := query.Question[0].Name
	msg := new(dns.Msg)
	msg.SetReply(query)
	msg.Answer = []dns.RR{
		mustRecord("%s 1 IN CNAME loop.example.org.", name),
		mustRecord("loop.example.org. 1 IN CNAME %s", name),
	}
	return msg
}

// maxUDPSize is how many bytes of answer the query's sender takes by UDP.
func maxUDPSize(query *dns.Msg) int {
	if opt := query.IsEdns0(); opt != nil {
		return int(opt.UDPSize())
	}
	return dns.MinMsgSize
}
