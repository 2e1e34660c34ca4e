package dnssrv

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// maxShare is the upper limit of a node's share. A larger value is a typing error that would send all requests to one
// node.
const maxShare = 1e6

// Keys in TXT strings, which are also the names of a pattern's groups.
const (
	shardKey = "shard"
	zoneKey  = "zone"
	kindKey  = "kind"
	shareKey = "share"
)

// Endpoint is a storage node according to DNS.
type Endpoint struct {
	Target           string
	Address          string
	OtherAddresses   []string // further addresses of the target
	Priority, Weight uint16
	Shard            int
	Zone, Kind       string
	Share            float64 // relative to the other nodes of the shard; 0: unknown
}

// Mapping configures how an endpoint's shard, zone, kind and share are determined. TXT strings take precedence over the
// pattern, and the pattern over the defaults.
type Mapping struct {
	Pattern *regexp.Regexp // matched against the target, with groups shard, zone, kind and share; nil: none
	UseTXT  bool           // reads TXT strings of the target, such as "shard=3"
	Shard   int            // default; below 0: an endpoint without a shard is omitted
	Zone    string         // default
	Kind    string         // default
}

// endpoint returns the endpoint of a record.
func (m Mapping) endpoint(record Record) (Endpoint, error) {
	e := Endpoint{
		Target:         record.Target,
		Address:        record.Addresses[0],
		OtherAddresses: record.Addresses[1:],
		Priority:       record.Priority,
		Weight:         record.Weight,
		Shard:          m.Shard,
		Zone:           m.Zone,
		Kind:           m.Kind,
	}
	if err := m.applyPattern(&e); err != nil {
		return e, err
	}
	if err := e.applyTXT(record.TXT); err != nil {
		return e, err
	}
	if e.Shard < 0 {
		return e, fmt.Errorf("%s: neither the name, a TXT record nor the defaults specify a shard", record.Target)
	}
	return e, nil
}

// applyPattern sets the fields that the groups of the pattern match in the target's name.
func (m Mapping) applyPattern(e *Endpoint) error {
	if m.Pattern == nil {
		return nil
	}
	groups := m.Pattern.FindStringSubmatch(e.Target)
	if groups == nil {
		return nil
	}
	for i, key := range m.Pattern.SubexpNames() {
		if key == "" || groups[i] == "" {
			continue
		}
		if err := e.set(key, groups[i]); err != nil {
			return err
		}
	}
	return nil
}

// applyTXT sets the fields that the target's TXT strings contain.
func (e *Endpoint) applyTXT(texts []string) error {
	for _, text := range texts {
		for pair := range strings.FieldsSeq(text) {
			key, value, isPair := strings.Cut(pair, "=")
			if !isPair {
				continue
			}
			if err := e.set(key, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// set parses a value and sets the field of the given key. It ignores unknown keys.
func (e *Endpoint) set(key, value string) error {
	var err error
	switch key {
	case shardKey:
		var shard uint64
		shard, err = strconv.ParseUint(value, 10, 31)
		e.Shard = int(shard)
	case zoneKey:
		e.Zone = value
	case kindKey:
		e.Kind = value
	case shareKey:
		e.Share, err = parseShare(value)
	}
	if err != nil {
		return fmt.Errorf("%s: %s: %w", e.Target, key, err)
	}
	return nil
}

func parseShare(text string) (float64, error) {
	share, err := strconv.ParseFloat(text, 64)
	if err == nil && !(share > 0 && share < maxShare) {
		err = fmt.Errorf("%q is not above 0 and below %v", text, maxShare)
	}
	return share, err
}
