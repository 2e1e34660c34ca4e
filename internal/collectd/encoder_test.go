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

// testSecrets are those of the fake receiver.
var testSecrets = map[string]string{"wharf": "s3cret"}

// encoders is one for each way to protect packets.
var encoders = []collectd.Encoder{
	{Host: "n1", Plugin: "junctionwharf"},
	{Host: "n1", Plugin: "junctionwharf", Security: collectd.Signed, Key: testKey},
	{Host: "n1", Plugin: "junctionwharf", Security: collectd.Encrypted, Key: testKey},
}

// testValueLists returns 200 value lists, whose neighbours differ in some parts and not in others, and their values by
// series.
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

// The fake receiver, which shares no code with the encoder, reads back what was written, in each way to protect
// packets. It takes no packet under a wrong key, and none that was tampered with.
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
				t.Fatalf("a packet of %d bytes", len(packet))
			}
			points, _, err := fakes.ParsePacket(packet, testSecrets, protected)
			if err != nil {
				t.Fatal(err)
			}
			for _, point := range points {
				if point.Timestamp != testTime.Unix() {
					t.Fatalf("time %d", point.Timestamp)
				}
				got[point.Series] = point.Value
			}
			if protected {
				checkRejections(t, packet)
			}
		}
		if !maps.Equal(got, want) {
			t.Errorf("%d series of %d: %v, want %v", len(got), len(want), got, want)
		}
	}
}

// checkRejections checks that a protected packet is rejected under a wrong key, under an unknown user, and when a bit
// of it is changed.
func checkRejections(t *testing.T, packet []byte) {
	t.Helper()
	for _, secrets := range []map[string]string{{"wharf": "other"}, {"else": "s3cret"}} {
		if points, _, err := fakes.ParsePacket(packet, secrets, true); err == nil || len(points) > 0 {
			t.Fatalf("%d points under a wrong key", len(points))
		}
	}
	packet[len(packet)-1] ^= 1
	if points, _, err := fakes.ParsePacket(packet, testSecrets, true); err == nil || len(points) > 0 {
		t.Fatalf("%d points of a packet that was tampered with", len(points))
	}
}

// A value list that fits into no packet is an error.
func TestValueListTooLarge(t *testing.T) {
	huge := []collectd.ValueList{{Type: "t", Values: make([]collectd.Value, 200)}}
	if _, err := encoders[0].EncodeValueLists(huge, testTime, time.Second); !errors.Is(err, collectd.ErrTooLarge) {
		t.Error(err)
	}
}

// A notification of 2,000 bytes is cut, so that it fits into a packet in each way to protect it. The fake receiver
// rejects a text that is longer than its own bound of 1,024 bytes; a packet that it takes holds one notification.
func TestLongNotification(t *testing.T) {
	long := collectd.Notification{
		Severity: collectd.Warning,
		Instance: "nodes",
		Text:     strings.Repeat("long ", 400),
	}
	for _, encoder := range encoders {
		packet, err := encoder.EncodeNotification(long, testTime)
		if err != nil || len(packet) > collectd.MaxPacket {
			t.Fatal(len(packet), err)
		}
		_, got, err := fakes.ParsePacket(packet, testSecrets, encoder.Security != collectd.Unprotected)
		if err == nil && len(got) != 1 {
			t.Fatalf("%d notifications", len(got))
		}
	}
}

// The fake receiver reads back all fields of a notification.
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
		t.Errorf("%+v, %v", got, err)
	}
}

// Any names make packets that are read back as one value each.
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
			t.Fatal(len(packets), err)
		}
		points, _, err := fakes.ParsePacket(packets[0], testSecrets, encoder.Security != collectd.Unprotected)
		if err != nil || len(points) != 1 || points[0].Value != float64(n) {
			t.Fatal(points, err)
		}
	})
}

// validNames tells whether the names keep to the rules that the encoder leaves to its caller.
func validNames(list collectd.ValueList) bool {
	longest := max(len(list.PluginInstance), len(list.Type), len(list.TypeInstance))
	all := list.PluginInstance + list.Type + list.TypeInstance
	return longest <= collectd.MaxName && !strings.ContainsAny(all, "/\x00") && list.Type != ""
}

// Garbage ends in an error, never in a panic of the fake receiver.
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
