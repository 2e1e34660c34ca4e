package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"
)

// maxChain bounds the CNAMEs of a question. Higher, a faulty zone costs more queries; lower, a long chain of aliases
// is an error.
const maxChain = 8

// errCNAMELoop is of CNAMEs that lead back to a name before.
var errCNAMELoop = errors.New("its CNAMEs go in a circle")

// errLongChain is of more than maxChain CNAMEs.
var errLongChain = fmt.Errorf("over %d CNAMEs", maxChain)

// reply is the answer to a question: its records, or that there are none.
type reply struct {
	records    []dns.RR // of the kind, at the end of the chain
	additional []dns.RR
	ttl        time.Duration
	none       bool // NXDOMAIN, or no record of the kind
}

// chain follows a question from alias to alias.
type chain struct {
	question question
	name     string          // the end so far
	seen     map[string]bool // all names but one that is asked for again
	ttl      time.Duration   // the shortest lifetime so far
}

// check reports whether the chain may go on at a name.
func (c *chain) check(next string) error {
	if c.seen[next] {
		return fmt.Errorf("%s: %w", c.question.name, errCNAMELoop)
	}
	if len(c.seen) > maxChain {
		return fmt.Errorf("%s: %w", c.question.name, errLongChain)
	}
	return nil
}

// ask puts a question to servers and follows its chain of names.
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
		delete(c.seen, c.name) // the answer ends with a CNAME: go on from there
	}
}

// followAnswer follows the chain as far as an answer has it, and returns the records at its end, if the answer has
// them.
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

// recordsAt are the records of the wanted kind at the end of the chain, or the alias that stands there before any of
// them.
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

// continues reports whether an answer leads to another name without saying what stands there.
func (c *chain) continues(msg *dns.Msg) bool {
	return c.name != dns.CanonicalName(msg.Question[0].Name) && len(msg.Answer) > 0
}

// negativeTTL is how long it counts that there is nothing: by the zone's SOA (RFC 2308).
func (r *Resolver) negativeTTL(msg *dns.Msg) time.Duration {
	for _, record := range msg.Ns {
		if soa, isSOA := record.(*dns.SOA); isSOA {
			return r.options.recordTTL(min(soa.Minttl, soa.Hdr.Ttl))
		}
	}
	return r.options.MinTTL
}
