package fakes

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/miekg/dns"
)

const (
	// portAttempts is the maximum number of attempts to find a port that is free for both TCP and UDP. The system
	// selects the TCP port, and another process may already use the same UDP port.
	portAttempts = 20
	// maxCNAMEs is the maximum number of aliases that are followed. It is above the limit of resolvers, so that tests
	// reach the limit of the resolver.
	maxCNAMEs = 20
	// initialTTL is the lifetime of records in seconds until Set changes it. It has the smallest value because tests
	// wait for records to expire.
	initialTTL = 1
	// negativeSOA is included in answers without records. It allows the absence to be cached for 1 s (RFC 2308).
	negativeSOA = "example.org. 1 IN SOA ns.example.org. h.example.org. 1 60 60 60 1"
)

// SRVRecord is an SRV record of a service, along with the records of its target.
type SRVRecord struct {
	Target           string
	Port             uint16
	Priority, Weight uint16
	Addresses        []string // A and AAAA records of the target
	Text             string   // TXT record of the target; empty if there is none
}

// DNS is a fake of a name server that serves UDP and TCP on the same port. It can be set to give faulty answers.
type DNS struct {
	address string
	servers []*dns.Server
	queries atomic.Int64

	mu             sync.Mutex // guards the fields below
	fault          DNSFault
	ttl            uint32 // in seconds
	omitAdditional bool
	zone           map[string][]SRVRecord // by name of the service
	aliases        map[string]string      // targets of CNAME records, by name
	received       int                    // queries since the start, for EveryThird
}

// NewDNS starts a name server without records at an address.
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
		go func() { _ = server.ActivateAndServe() }() // returns after Close
		<-started
	}
	return d, nil
}

// listenBoth opens a TCP listener and a UDP socket on the same port.
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
		_ = listener.Close() // the next attempt uses another port
	}
	return nil, nil, err
}

// Address returns the listening address.
func (d *DNS) Address() string { return d.address }

// Queries returns the number of queries received.
func (d *DNS) Queries() int { return int(d.queries.Load()) }

// Close stops the server.
func (d *DNS) Close() {
	for _, server := range d.servers {
		_ = server.Shutdown()
	}
}

// SetFault sets the fault of all further answers.
func (d *DNS) SetFault(fault DNSFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// Set replaces the SRV records of a service. It also sets the lifetime of all records, in seconds.
func (d *DNS) Set(service string, ttl uint32, records ...SRVRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zone[dns.CanonicalName(service)] = records
	d.ttl = ttl
}

// SetCNAME makes name an alias of target.
func (d *DNS) SetCNAME(name, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aliases[dns.CanonicalName(name)] = dns.CanonicalName(target)
}

// OmitAdditional omits addresses from the additional section of all further answers, so that clients must query them.
func (d *DNS) OmitAdditional() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.omitAdditional = true
}

// mustRecord parses a record written by the fake. It panics if the record is invalid.
func mustRecord(format string, args ...any) dns.RR {
	text := fmt.Sprintf(format, args...)
	record, err := dns.NewRR(text)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", text, err))
	}
	return record
}

// answer returns the correct answer to a query. The caller must hold d.mu.
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

// followAliases adds the CNAME records of a name to msg and returns the name that they lead to.
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

// addService adds a service's SRV records to msg, and the addresses of their targets unless omitAdditional is set.
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

// targetRecords returns the records of an SRV record's target that have the type qtype.
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
