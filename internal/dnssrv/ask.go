package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"
)

// maxChain limits the CNAME records that are followed for a question. With a larger value, a faulty zone causes more
// queries. With a smaller value, a long chain of aliases is an error.
const maxChain = 8

// errCNAMELoop reports a CNAME record whose target is an earlier name of the chain.
var errCNAMELoop = errors.New("CNAME records form a loop")

// errLongChain reports a chain of more than maxChain CNAME records.
var errLongChain = fmt.Errorf("chain has more than %d CNAME records", maxChain)

// reply is the answer to a question: the requested records, or the fact that there are none.
type reply struct {
	records    []dns.RR // of the requested type, at the end of the CNAME chain
	additional []dns.RR
	ttl        time.Duration
	none       bool // NXDOMAIN, or no record of the requested type
}

// chain is the chain of CNAME records that is followed for a question.
type chain struct {
	question question
	name     string          // the last name so far
	seen     map[string]bool // names so far, without a name that is queried next
	ttl      time.Duration   // the shortest TTL so far
}

// check returns an error if next would close a loop or make the chain too long.
func (c *chain) check(next string) error {
	if c.seen[next] {
		return fmt.Errorf("%s: %w", c.question.name, errCNAMELoop)
	}
	if len(c.seen) > maxChain {
		return fmt.Errorf("%s: %w", c.question.name, errLongChain)
	}
	return nil
}

// ask queries servers for a question and follows CNAME records to the requested records.
func (r *Resolver) ask(ctx context.Context, q question) (reply, error) {
	c := &chain{question: q, name: q.name, seen: map[string]bool{}, ttl: r.options.MaxTTL}
	for {
		if err := c.check(c.name); err != nil {
			return reply{}, err
		}
		c.seen[c.name] = true
		msg, err := r.exchange(ctx, question{name: c.name, kind: q.kind})
		if err != nil {
			return reply{}, err
		}
		records, err := r.followAnswer(c, msg)
		if err != nil {
			return reply{}, err
		}
		if len(records) > 0 {
			return reply{records: records, additional: msg.Extra, ttl: c.ttl}, nil
		}
		if msg.Rcode == dns.RcodeNameError || !c.continues(msg) {
			ttl := min(c.ttl, r.negativeTTL(msg))
			return reply{additional: msg.Extra, ttl: ttl, none: true}, nil
		}
		delete(c.seen, c.name) // the answer ends with a CNAME: query its target
	}
}

// followAnswer follows the CNAME records of an answer. It returns the requested records at the end of the chain, or nil
// if the answer does not contain any.
func (r *Resolver) followAnswer(c *chain, msg *dns.Msg) ([]dns.RR, error) {
	for {
		records, alias := r.recordsAt(c, msg)
		if alias == nil {
			return records, nil
		}
		next := dns.CanonicalName(alias.Target)
		if err := c.check(next); err != nil {
			return nil, err
		}
		c.ttl = min(c.ttl, r.options.recordTTL(alias.Hdr.Ttl))
		c.seen[next] = true
		c.name = next
	}
}

// recordsAt returns the answer's records of the requested type for the last name of the chain. If a CNAME record for
// that name comes before them, it returns the CNAME record instead.
func (r *Resolver) recordsAt(c *chain, msg *dns.Msg) ([]dns.RR, *dns.CNAME) {
	var records []dns.RR
	for _, record := range msg.Answer {
		if dns.CanonicalName(record.Header().Name) != c.name {
			continue
		}
		if record.Header().Rrtype == c.question.kind {
			records = append(records, record)
			c.ttl = min(c.ttl, r.options.recordTTL(record.Header().Ttl))
			continue
		}
		if alias, isAlias := record.(*dns.CNAME); isAlias && len(records) == 0 {
			return nil, alias
		}
	}
	return records, nil
}

// continues reports whether an answer ends with a CNAME record whose target must be queried separately.
func (c *chain) continues(msg *dns.Msg) bool {
	return c.name != dns.CanonicalName(msg.Question[0].Name) && len(msg.Answer) > 0
}

// negativeTTL returns how long the absence of records may be cached, according to the zone's SOA record (RFC 2308).
func (r *Resolver) negativeTTL(msg *dns.Msg) time.Duration {
	for _, record := range msg.Ns {
		if soa, isSOA := record.(*dns.SOA); isSOA {
			return r.options.recordTTL(min(soa.Minttl, soa.Hdr.Ttl))
		}
	}
	return r.options.MinTTL
}
