package dnssrv

import (
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// TXT strings override the pattern, which overrides the defaults.
func TestTXTOverridesPattern(t *testing.T) {
	mapping := Mapping{
		Pattern: regexp.MustCompile(`^s(?P<shard>\d+)-(?P<zone>[a-z])\.`),
		UseTXT:  true,
		Shard:   -1,
		Kind:    "m1",
	}
	record := Record{
		Target:    "s12-b.example.org",
		Addresses: []string{"10.0.0.1:1", "[::1]:1"},
		TXT:       []string{"share=0.5 other", "kind=m2"},
	}
	want := Endpoint{
		Target:         "s12-b.example.org",
		Address:        "10.0.0.1:1",
		OtherAddresses: []string{"[::1]:1"},
		Shard:          12,
		Zone:           "b",
		Kind:           "m2",
		Share:          0.5,
	}
	if got, err := mapping.endpoint(record); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("endpoint is %+v, error %v, want %+v", got, err, want)
	}
	for _, texts := range [][]string{{"shard=x"}, {"share=0"}, {"share=NaN"}, {"shard=99999999999"}} {
		record.TXT = texts
		if _, err := mapping.endpoint(record); err == nil {
			t.Errorf("%q: no error", texts)
		}
	}
	unknown := Record{Target: "x.example.org", Addresses: []string{"10.0.0.1:1"}}
	if _, err := mapping.endpoint(unknown); err == nil || !strings.Contains(err.Error(), "shard") {
		t.Errorf("got error %v, want one that contains %q", err, "shard")
	}
}
