package fakes

import (
	"strings"
	"time"

	"github.com/miekg/dns"
)

// DNSFault is a fault of a name server's answers.
type DNSFault int

// The faults of a name server.
const (
	NoDNSFault     DNSFault = iota
	NoAnswer                // no answer
	LateAnswer              // an answer that is delayed by LateAnswerDelay
	ServFail                // SERVFAIL
	Refused                 // REFUSED
	NameError               // NXDOMAIN
	NoData                  // success without records
	Truncated               // truncated over UDP, complete over TCP
	TruncatedNoTCP          // truncated over UDP; TCP connections are closed without an answer
	WrongID                 // an answer with an ID that is not the query's
	Spoofed                 // a false answer to another question, followed by the correct answer
	Malformed               // bytes that are not a DNS message
	CNAMELoop               // CNAME records that form a loop
	EveryThird              // only every third query is answered
)

// LateAnswerDelay is the delay of a late answer. It is longer than a resolver's first attempt and shorter than all of
// the resolver's attempts together.
const LateAnswerDelay = 300 * time.Millisecond

// responseCodes maps the faults that are answers without records to their response codes.
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
	d.received++
	overTCP := strings.HasPrefix(w.RemoteAddr().Network(), "tcp")
	if d.withheld(w, query, overTCP) {
		return
	}
	msg := d.faultyAnswer(w, query, overTCP)
	if !overTCP && !d.truncates() {
		msg.Truncate(maxUDPSize(query))
	}
	_ = w.WriteMsg(msg) // ignored if the resolver has disconnected
}

// truncates reports whether the fault truncates answers over UDP. The caller must hold d.mu.
func (d *DNS) truncates() bool { return d.fault == Truncated || d.fault == TruncatedNoTCP }

// withheld applies the faults that replace, delay or suppress the answer. It reports whether one of them applies to the
// query, in which case the caller must not answer. The caller must hold d.mu.
func (d *DNS) withheld(w dns.ResponseWriter, query *dns.Msg, overTCP bool) bool {
	switch d.fault {
	case NoAnswer:
		return true
	case EveryThird:
		return d.received%3 != 0
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

// faultyAnswer returns the answer, altered according to the fault. The caller must hold d.mu.
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

// emptyAnswer returns an answer without records.
func emptyAnswer(query *dns.Msg, responseCode int) *dns.Msg {
	msg := new(dns.Msg)
	msg.SetRcode(query, responseCode)
	msg.Ns = []dns.RR{mustRecord(negativeSOA)}
	return msg
}

// loopAnswer returns an answer whose CNAME records lead back to the queried name.
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

// maxUDPSize returns the maximum size in bytes of a UDP answer that the sender of the query accepts.
func maxUDPSize(query *dns.Msg) int {
	if opt := query.IsEdns0(); opt != nil {
		return int(opt.UDPSize())
	}
	return dns.MinMsgSize
}
