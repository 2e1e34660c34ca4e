package collectd_test

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"junctionwharf/internal/collectd"
	"junctionwharf/internal/fakes"
)

var testTime = time.Unix(1_700_000_000, 500_000_000)

var testKey = collectd.Key{User: "wharf", Secret: "s3cret"}

// testSecrets are the secrets of the fake receiver.
var testSecrets = map[string]string{"wharf": "s3cret"}

// encoders contains one encoder for each way to protect packets.
var encoders = []collectd.Encoder{
	{Host: "n1", Plugin: "junctionwharf"},
	{Host: "n1", Plugin: "junctionwharf", Security: collectd.Signed, Key: testKey},
	{Host: "n1", Plugin: "junctionwharf", Security: collectd.Encrypted, Key: testKey},
}

// testValueLists returns 200 value lists and their values by series. Consecutive lists differ in some parts and are
// equal in others.
func testValueLists() ([]collectd.ValueList, map[string]float64) {
	var lists []collectd.ValueList
	values := map[string]float64{}
	for i := range 200 {
		list := collectd.ValueList{PluginInstance: fmt.Sprint("volume.", i/3), Type: fmt.Sprint("type", i%3)}
		series := fmt.Sprintf("n1/junctionwharf-%s/%s", list.PluginInstance, list.Type)
		if i%2 == 0 {
			list.TypeInstance = "whole_us"
			series += "-" + list.TypeInstance
		}
		for index := range i%8 + 1 {
			kind := collectd.Gauge
			if index%2 == 1 {
				kind = collectd.Derive
			}
			value := i*1000 + index
			list.Values = append(list.Values, collectd.Value{Kind: kind, N: uint64(value)})
			values[fmt.Sprintf("%s/%d", series, index)] = float64(value)
		}
		lists = append(lists, list)
	}
	return lists, values
}

// The parser of the fake receiver shares no code with the encoder. It decodes what the encoder encodes, for each way to
// protect packets. It rejects packets under a wrong key, packets of an unknown user and modified packets.
func TestEncodeValueLists(t *testing.T) {
	lists, want := testValueLists()
	for _, encoder := range encoders {
		protected := encoder.Security != collectd.Unprotected
		packets, err := encoder.EncodeValueLists(lists, testTime, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]float64{}
		for _, packet := range packets {
			if len(packet) > collectd.MaxPacket {
				t.Fatalf("packet of %d bytes, want at most %d", len(packet), collectd.MaxPacket)
			}
			points, _, err := fakes.ParsePacket(packet, testSecrets, protected)
			if err != nil {
				t.Fatal(err)
			}
			for _, point := range points {
				if point.Timestamp != testTime.Unix() {
					t.Fatalf("timestamp: got %d, want %d", point.Timestamp, testTime.Unix())
				}
				got[point.Series] = point.Value
			}
			if protected {
				checkRejections(t, packet)
			}
		}
		if !maps.Equal(got, want) {
			t.Errorf("got %d series, want %d: got %v, want %v", len(got), len(want), got, want)
		}
	}
}

// checkRejections checks that the receiver rejects a protected packet if its own key is wrong, if it does not know the
// user, and if a bit of the packet was changed.
func checkRejections(t *testing.T, packet []byte) {
	t.Helper()
	for _, secrets := range []map[string]string{{"wharf": "other"}, {"else": "s3cret"}} {
		if points, _, err := fakes.ParsePacket(packet, secrets, true); err == nil || len(points) > 0 {
			t.Fatalf("%d points were accepted under a wrong key or for an unknown user", len(points))
		}
	}
	packet[len(packet)-1] ^= 1
	if points, _, err := fakes.ParsePacket(packet, testSecrets, true); err == nil || len(points) > 0 {
		t.Fatalf("%d points of a modified packet were accepted", len(points))
	}
}

// A value list that does not fit into a packet gives an error.
func TestValueListTooLarge(t *testing.T) {
	huge := []collectd.ValueList{{Type: "t", Values: make([]collectd.Value, 200)}}
	if _, err := encoders[0].EncodeValueLists(huge, testTime, time.Second); !errors.Is(err, collectd.ErrTooLarge) {
		t.Errorf("got error %v, want %v", err, collectd.ErrTooLarge)
	}
}

// A notification of 2,000 bytes is truncated to fit into a packet, for each way to protect packets. The fake receiver
// may reject the packet, because its own bound for a text is 1,024 bytes. If it accepts the packet, the packet contains
// one notification.
func TestLongNotification(t *testing.T) {
	long := collectd.Notification{
		Severity: collectd.Warning,
		Instance: "nodes",
		Text:     strings.Repeat("long ", 400),
	}
	for _, encoder := range encoders {
		packet, err := encoder.EncodeNotification(long, testTime)
		if err != nil || len(packet) > collectd.MaxPacket {
			t.Fatalf("packet of %d bytes, want at most %d; error %v", len(packet), collectd.MaxPacket, err)
		}
		_, got, err := fakes.ParsePacket(packet, testSecrets, encoder.Security != collectd.Unprotected)
		if err == nil && len(got) != 1 {
			t.Fatalf("got %d notifications, want 1", len(got))
		}
	}
}

// The parser of the fake receiver decodes all fields of a notification.
func TestEncodeNotification(t *testing.T) {
	notification := collectd.Notification{Severity: collectd.Failure, Instance: "sinks", Text: "graphite lost"}
	packet, err := encoders[2].EncodeNotification(notification, testTime)
	if err != nil {
		t.Fatal(err)
	}
	want := fakes.Notification{
		Severity:  1,
		Host:      "n1",
		Plugin:    "junctionwharf",
		Instance:  "sinks",
		Text:      "graphite lost",
		Timestamp: testTime.Unix(),
	}
	_, got, err := fakes.ParsePacket(packet, testSecrets, true)
	if err != nil || len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// A value list with any valid names is decoded as one value.
func FuzzLists(f *testing.F) {
	f.Add("volume.a", "type", "inst", uint64(7), byte(0))
	f.Add("", "t", "", uint64(1)<<63, byte(2))
	f.Add("a\x00b", "t\x00", "\x00", uint64(0), byte(1))
	f.Fuzz(func(t *testing.T, pluginInstance, typeName, typeInstance string, n uint64, security byte) {
		list := collectd.ValueList{
			PluginInstance: pluginInstance,
			Type:           typeName,
			TypeInstance:   typeInstance,
			Values:         []collectd.Value{{Kind: collectd.Derive, N: n}},
		}
		if !validNames(list) {
			return
		}
		encoder := encoders[int(security)%len(encoders)]
		packets, err := encoder.EncodeValueLists([]collectd.ValueList{list}, testTime, time.Second)
		if err != nil || len(packets) != 1 {
			t.Fatalf("got %d packets, want 1; error %v", len(packets), err)
		}
		points, _, err := fakes.ParsePacket(packets[0], testSecrets, encoder.Security != collectd.Unprotected)
		if err != nil || len(points) != 1 || points[0].Value != float64(n) {
			t.Fatalf("got points %v, error %v, want one point of value %d", points, err, n)
		}
	})
}

// validNames reports whether the names follow the rules that the caller of the encoder must ensure.
func validNames(list collectd.ValueList) bool {
	longest := max(len(list.PluginInstance), len(list.Type), len(list.TypeInstance))
	all := list.PluginInstance + list.Type + list.TypeInstance
	return longest <= collectd.MaxName && !strings.ContainsAny(all, "/\x00") && list.Type != ""
}

// Malformed packets give an error and do not make the fake receiver panic.
func FuzzParsePacket(f *testing.F) {
	lists := []collectd.ValueList{{
		PluginInstance: "a",
		Type:           "b",
		TypeInstance:   "c",
		Values:         []collectd.Value{{Kind: collectd.Gauge, N: 1}, {Kind: collectd.Derive, N: 2}},
	}}
	for _, encoder := range encoders {
		packets, err := encoder.EncodeValueLists(lists, testTime, time.Second)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packets[0])
	}
	f.Add([]byte{2, 16, 0, 4})
	f.Fuzz(func(_ *testing.T, packet []byte) { _, _, _ = fakes.ParsePacket(packet, testSecrets, false) })
}
