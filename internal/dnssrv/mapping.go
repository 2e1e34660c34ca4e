package dnssrv

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// maxShare bounds a node's share; a greater one is a slip of the pen that would draw all requests to one node.
const maxShare = 1e6

// The keys of TXT strings, and the names of a pattern's groups.
const (
	shardKey = "shard"
	zoneKey  = "zone"
	kindKey  = "kind"
	shareKey = "share"
)

// Endpoint is one node as DNS has it.
type Endpoint struct {
	Target           string
	Address          string
	OtherAddresses   []string // of the target
	Priority, Weight uint16
	Shard            int
	Zone, Kind       string
	Share            float64 // of its shard's requests, relative to its other nodes; 0: unknown
}

// Mapping says where an endpoint's shard, zone, kind and share come from: a pattern, overridden by TXT strings.
type Mapping struct {
	Pattern *regexp.Regexp // over the target, with groups shard, zone, kind and share; nil for none
	UseTXT  bool           // TXT strings of the target such as "shard=3"
	Shard   int            // where neither says it; below 0: an endpoint without a shard is left out
	Zone    string
	Kind    string
}

// endpoint works out a record's endpoint.
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
		return e, fmt.Errorf("%s: its shard is told nowhere", record.Target)
	}
	return e, nil
}

// applyPattern sets what the target's name says.
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

// applyTXT sets what the target's TXT strings say.
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

// set sets a field by its key; unknown keys are passed over.
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
		err = fmt.Errorf("%q is not above 0", text)
	}
	return share, err
}
