package fakes

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/miekg/dns"
)

const (
	// portAttempts is how often a port is looked for that is free for both TCP and UDP: the system picks the TCP port,
	// and another process may hold the same one for UDP.
	portAttempts = 20
	// maxCNAMEs is how many aliases are followed. It is above what a resolver follows, so that the resolver's own bound
	// is what a test meets.
	maxCNAMEs = 20
	// initialTTL is the lifetime in seconds of records until Set changes it: the shortest, since tests wait for it.
	initialTTL = 1
	// negativeSOA is in answers without records: it tells for how long the absence may be cached (RFC 2308), 1 s.
	negativeSOA = "example.org. 1 IN SOA ns.example.org. h.example.org. 1 60 60 60 1"
)

// SRVRecord is an SRV record of a service, with the records of its target.
type SRVRecord struct {
	Target           string
	Port             uint16
	Priority, Weight uint16
	Addresses        []string // A and AAAA of the target
	Text             string   // TXT of the target; empty for none
}

// DNS is a fake of a name server that answers faultily as it is told: UDP and TCP at one port.
type DNS struct {
	address string
	servers []*dns.Server
	queries atomic.Int64

	mu             sync.Mutex // guards what follows
	fault          DNSFault
	ttl            uint32 // s
	omitAdditional bool
	zone           map[string][]SRVRecord // by service
	aliases        map[string]string      // CNAMEs
	answered       int                    // queries since the start, for EveryThird
}

// NewDNS listens at an address.
func NewDNS(address string) (*DNS, error) {
	listener, packets, err := listenBoth(address)
	if err != nil {
		return nil, err
	}
	d := &DNS{
		address: listener.Addr().String(),
		ttl:     initialTTL,
		zone:    map[string][]SRVRecord{},
		aliases: map[string]string{},
	}
	d.servers = []*dns.Server{
		{Listener: listener, Handler: d},
		{PacketConn: packets, Handler: d},
	}
	for _, server := range d.servers {
		started := make(chan struct{})
		server.NotifyStartedFunc = func() { close(started) }
		go func() { _ = server.ActivateAndServe() }() // ends with Close, whose error it returns
		<-started
	}
	return d, nil
}

// listenBoth listens for TCP and UDP at one port.
func listenBoth(address string) (listener net.Listener, packets net.PacketConn, err error) {
	for range portAttempts {
		listener, err = net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		packets, err = net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return listener, packets, nil
		}
		_ = listener.Close() // another port is tried
	}
	return nil, nil, err
}

// Address returns where it listens.
func (d *DNS) Address() string { return d.address }

// Queries returns how many queries came.
func (d *DNS) Queries() int { return int(d.queries.Load()) }

// Close ends it.
func (d *DNS) Close() {
	for _, server := range d.servers {
		_ = server.Shutdown()
	}
}

// SetFault has all answers from now on show a fault.
func (d *DNS) SetFault(fault DNSFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// Set lists the SRV records of a service, with a lifetime in seconds.
func (d *DNS) Set(service string, ttl uint32, records ...SRVRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zone[dns.CanonicalName(service)] = records
	d.ttl = ttl
}

// SetCNAME makes a name an alias of another.
func (d *DNS) SetCNAME(name, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aliases[dns.CanonicalName(name)] = dns.CanonicalName(target)
}

// OmitAdditional leaves addresses out of the additional section: they must be asked for.
func (d *DNS) OmitAdditional() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.omitAdditional = true
}

// mustRecord parses a record that the fake itself has written.
func mustRecord(format string, args ...any) dns.RR {
	text := fmt.Sprintf(format, args...)
	record, err := dns.NewRR(text)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", text, err))
	}
	return record
}

// answer is the faultless answer to a query; d.mu is held.
func (d *DNS) answer(query *dns.Msg) *dns.Msg {
	msg := new(dns.Msg)
	msg.SetReply(query)
	msg.Compress = true
	question := query.Question[0]
	name := d.followAliases(msg, dns.CanonicalName(question.Name))
	known := false
	for service, records := range d.zone {
		if service == name {
			known = true
			if question.Qtype == dns.TypeSRV {
				d.addService(msg, name, records)
			}
		}
		for _, record := range records {
			if dns.CanonicalName(record.Target) == name {
				known = true
				msg.Answer = append(msg.Answer, d.targetRecords(record, question.Qtype)...)
			}
		}
	}
	if !known {
		msg.Rcode = dns.RcodeNameError
	}
	if len(msg.Answer) == 0 {
		msg.Ns = []dns.RR{mustRecord(negativeSOA)}
	}
	return msg
}

// followAliases answers with the CNAMEs of a name, and returns the name that they lead to.
func (d *DNS) followAliases(msg *dns.Msg, name string) string {
	for range maxCNAMEs {
		target, isAlias := d.aliases[name]
		if !isAlias {
			break
		}
		msg.Answer = append(msg.Answer, mustRecord("%s %d IN CNAME %s", name, d.ttl, target))
		name = target
	}
	return name
}

// addService answers with a service's SRV records.
func (d *DNS) addService(msg *dns.Msg, service string, records []SRVRecord) {
	for _, r := range records {
		srv := mustRecord("%s %d IN SRV %d %d %d %s",
			service, d.ttl, r.Priority, r.Weight, r.Port, dns.Fqdn(r.Target))
		msg.Answer = append(msg.Answer, srv)
		if !d.omitAdditional {
			msg.Extra = append(msg.Extra, d.targetRecords(r, dns.TypeA)...)
			msg.Extra = append(msg.Extra, d.targetRecords(r, dns.TypeAAAA)...)
		}
	}
}

// targetRecords returns the records of an SRV record's target that have a type.
func (d *DNS) targetRecords(r SRVRecord, qtype uint16) []dns.RR {
	var records []dns.RR
	owner := dns.Fqdn(r.Target)
	for _, address := range r.Addresses {
		isIPv4 := net.ParseIP(address).To4() != nil
		switch {
		case isIPv4 && qtype == dns.TypeA:
			records = append(records, mustRecord("%s %d IN A %s", owner, d.ttl, address))
		case !isIPv4 && qtype == dns.TypeAAAA:
			records = append(records, mustRecord("%s %d IN AAAA %s", owner, d.ttl, address))
		}
	}
	if qtype == dns.TypeTXT && r.Text != "" {
		records = append(records, mustRecord("%s %d IN TXT %q", owner, d.ttl, r.Text))
	}
	return records
}
