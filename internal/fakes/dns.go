package fakes

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"
)

// DNSFault is what a scripted name server does to an answer.
type DNSFault int

// The tricks.
const (
	NoDNSFault     DNSFault = iota
	NoAnswer                // no answer
	LateAnswer              // after LateAnswerDelay
	ServFail                //
	Refused                 // REFUSED
	NameError               // NXDOMAIN
	NoData                  // no error and no records
	Truncated               // by datagram; whole over TCP
	TruncatedNoTCP          // truncated by datagram, and a TCP connection that ends
	WrongID                 // another id
	Spoofed                 // a false answer to another question first, then the true one
	Malformed               // bytes that are no message
	CNAMELoop               // CNAMEs in a circle
	EveryThird              // every third question is answered
)

// LateAnswerDelay is how long a late answer takes.
const LateAnswerDelay = 300 * time.Millisecond

// SRVRecord is an entry of a DNS stand-in's zone.
type SRVRecord struct {
	Target           string
	Port             uint16
	Priority, Weight uint16
	Addresses        []string // A and AAAA of the target
	Text             string   // TXT of the target; empty for none
}

// DNS is a stand-in for a name server that plays a script: UDP and TCP at one port.
type DNS struct {
	address string
	servers []*dns.Server
	asked   atomic.Int64

	mu    sync.Mutex
	trick DNSFault
	ttl   uint32
	extra bool // addresses come in the additional part
	zone  map[string][]SRVRecord
	alias map[string]string
	count int
}

// NewDNS listens at an address of loopback.
func NewDNS(address string) (*DNS, error) {
	var packets net.PacketConn
	var ln net.Listener
	var err error
	for range 20 { // a port that is free for both
		if ln, err = net.Listen("tcp", address); err != nil {
			return nil, err
		}
		if packets, err = net.ListenPacket("udp", ln.Addr().String()); err == nil {
			break
		}
		_ = ln.Close()
	}
	if err != nil {
		return nil, err
	}
	d := &DNS{address: ln.Addr().String(), ttl: 1, extra: true, zone: map[string][]SRVRecord{}, alias: map[string]string{}}
	d.servers = []*dns.Server{{Listener: ln, Handler: d}, {PacketConn: packets, Handler: d}}
	for _, s := range d.servers {
		started := make(chan struct{})
		s.NotifyStartedFunc = func() { close(started) }
		go func() { _ = s.ActivateAndServe() }()
		<-started
	}
	return d, nil
}

// Address is where it listens.
func (d *DNS) Address() string { return d.address }

// Queries counts questions.
func (d *DNS) Queries() int { return int(d.asked.Load()) }

// Close ends it.
func (d *DNS) Close() {
	for _, s := range d.servers {
		_ = s.Shutdown()
	}
}

// SetFault has all answers go through a trick.
func (d *DNS) SetFault(t DNSFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trick = t
}

// Set lists the SRV records of a service, with a lifetime in seconds.
func (d *DNS) Set(service string, ttl uint32, names ...SRVRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zone[dns.CanonicalName(service)], d.ttl = names, ttl
}

// SetCNAME makes a name a CNAME of another.
func (d *DNS) SetCNAME(name, of string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alias[dns.CanonicalName(name)] = dns.CanonicalName(of)
}

// OmitAdditional has addresses not come in the additional part: they must be asked for.
func (d *DNS) OmitAdditional() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extra = false
}

// ServeDNS implements dns.Handler.
func (d *DNS) ServeDNS(w dns.ResponseWriter, ask *dns.Msg) {
	d.asked.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	trick := d.trick
	overTCP := strings.HasPrefix(w.RemoteAddr().Network(), "tcp")
	msg := d.answer(ask)
	switch trick {
	case NoAnswer:
		return
	case EveryThird:
		if d.count%3 != 0 {
			return
		}
	case LateAnswer:
		go func() {
			time.Sleep(LateAnswerDelay)
			_ = w.WriteMsg(msg)
		}()
		return
	case ServFail, Refused, NameError, NoData:
		msg = new(dns.Msg)
		msg.SetRcode(ask, map[DNSFault]int{ServFail: dns.RcodeServerFailure, Refused: dns.RcodeRefused, NameError: dns.RcodeNameError, NoData: dns.RcodeSuccess}[trick])
		msg.Ns = []dns.RR{record("example.org. 1 IN SOA ns.example.org. h.example.org. 1 60 60 60 1")}
	case Truncated, TruncatedNoTCP:
		if overTCP && trick == TruncatedNoTCP {
			_ = w.Close()
			return
		}
		if !overTCP {
			msg.Truncated, msg.Answer, msg.Extra = true, msg.Answer[:min(1, len(msg.Answer))], nil
		}
	case WrongID:
		msg.Id++
	case Spoofed:
		spoofed := msg.Copy()
		spoofed.Question[0].Name = "evil.example.org."
		spoofed.Answer = nil
		_ = w.WriteMsg(spoofed)
	case Malformed:
		_, _ = w.Write([]byte{1, 2, 3})
		return
	case CNAMELoop:
		name := ask.Question[0].Name
		msg = new(dns.Msg)
		msg.SetReply(ask)
		msg.Answer = []dns.RR{record(name + " 1 IN CNAME loop.example.org."), record("loop.example.org. 1 IN CNAME " + name)}
	}
	if !overTCP && trick != Truncated && trick != TruncatedNoTCP {
		size := 512
		if opt := ask.IsEdns0(); opt != nil {
			size = int(opt.UDPSize())
		}
		msg.Truncate(size)
	}
	_ = w.WriteMsg(msg)
}

func record(text string) dns.RR {
	rr, err := dns.NewRR(text)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", text, err)) // the stand-in's own words
	}
	return rr
}

func (d *DNS) answer(ask *dns.Msg) *dns.Msg {
	msg := new(dns.Msg)
	msg.SetReply(ask)
	msg.Compress = true
	q := ask.Question[0]
	name := dns.CanonicalName(q.Name)
	for range 20 {
		of, is := d.alias[name]
		if !is {
			break
		}
		msg.Answer = append(msg.Answer, record(fmt.Sprintf("%s %d IN CNAME %s", name, d.ttl, of)))
		name = of
	}
	target := func(n SRVRecord, kinds ...uint16) (all []dns.RR) {
		owner := dns.Fqdn(n.Target)
		for _, kind := range kinds {
			for _, a := range n.Addresses {
				if four := net.ParseIP(a).To4() != nil; four && kind == dns.TypeA {
					all = append(all, record(fmt.Sprintf("%s %d IN A %s", owner, d.ttl, a)))
				} else if !four && kind == dns.TypeAAAA {
					all = append(all, record(fmt.Sprintf("%s %d IN AAAA %s", owner, d.ttl, a)))
				}
			}
			if kind == dns.TypeTXT && n.Text != "" {
				all = append(all, record(fmt.Sprintf("%s %d IN TXT %q", owner, d.ttl, n.Text)))
			}
		}
		return all
	}
	known := false
	for service, names := range d.zone {
		if service == name {
			known = true
			if q.Qtype == dns.TypeSRV {
				for _, n := range names {
					msg.Answer = append(msg.Answer, record(fmt.Sprintf("%s %d IN SRV %d %d %d %s", name, d.ttl, n.Priority, n.Weight, n.Port, dns.Fqdn(n.Target))))
					if d.extra {
						msg.Extra = append(msg.Extra, target(n, dns.TypeA, dns.TypeAAAA)...)
					}
				}
			}
		}
		for _, n := range names {
			if dns.CanonicalName(n.Target) == name {
				known = true
				msg.Answer = append(msg.Answer, target(n, q.Qtype)...)
			}
		}
	}
	if !known {
		msg.Rcode = dns.RcodeNameError
	}
	if len(msg.Answer) == 0 {
		msg.Ns = []dns.RR{record("example.org. 1 IN SOA ns.example.org. h.example.org. 1 60 60 60 1")}
	}
	return msg
}
