package collectd_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"junctionwharf/internal/collectd"
	"junctionwharf/internal/fakes"
)

var at = time.Unix(1_700_000_000, 500_000_000)

var ways = []collectd.Encoder{
	{Host: "n1", Plugin: "junctionwharf"},
	{Host: "n1", Plugin: "junctionwharf", Security: collectd.Signed, Key: collectd.Key{User: "wharf", Secret: "s3cret"}},
	{Host: "n1", Plugin: "junctionwharf", Security: collectd.Encrypted, Key: collectd.Key{User: "wharf", Secret: "s3cret"}},
}

var secrets = map[string]string{"wharf": "s3cret"}

// The stand-in, whose code is its own, reads back what was written, and nothing under a wrong key.
func TestLists(t *testing.T) {
	var lists []collectd.ValueList
	want := map[string]float64{}
	for i := range 200 {
		l := collectd.ValueList{PluginInstance: fmt.Sprint("volume.", i/3), Type: fmt.Sprint("type", i%3)}
		if i%2 == 0 {
			l.TypeInstance = "whole_us"
		}
		for v := range i%8 + 1 {
			l.Values = append(l.Values, collectd.Value{Kind: []collectd.Kind{collectd.Gauge, collectd.Derive}[v%2], N: uint64(i*1000 + v)})
			series := fmt.Sprintf("n1/junctionwharf-%s/%s", l.PluginInstance, l.Type)
			if l.TypeInstance != "" {
				series += "-" + l.TypeInstance
			}
			want[fmt.Sprintf("%s/%d", series, v)] = float64(i*1000 + v)
		}
		lists = append(lists, l)
	}
	for _, e := range ways {
		packets, err := e.EncodeValueLists(lists, at, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]float64{}
		for _, p := range packets {
			if len(p) > collectd.MaxPacket {
				t.Fatalf("a packet of %d bytes", len(p))
			}
			points, _, err := fakes.ParsePacket(p, secrets, e.Security != collectd.Unprotected)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range points {
				if p.Timestamp != at.Unix() {
					t.Fatalf("time %d", p.Timestamp)
				}
				got[p.Series] = p.Value
			}
			if e.Security == collectd.Unprotected {
				continue
			}
			for _, wrong := range []map[string]string{{"wharf": "other"}, {"else": "s3cret"}} {
				if points, _, err := fakes.ParsePacket(p, wrong, true); err == nil || len(points) > 0 {
					t.Fatalf("%d points under a wrong key", len(points))
				}
			}
			p[len(p)-1] ^= 1
			if points, _, err := fakes.ParsePacket(p, secrets, true); err == nil || len(points) > 0 {
				t.Fatalf("%d points of a packet that was tampered with", len(points))
			}
		}
		if len(got) != len(want) {
			t.Errorf("%d series of %d", len(got), len(want))
		}
		for series, value := range want {
			if got[series] != value {
				t.Errorf("%s is %v, want %v", series, got[series], value)
			}
		}
	}
	huge := []collectd.ValueList{{Type: "t", Values: make([]collectd.Value, 200)}}
	if _, err := ways[0].EncodeValueLists(huge, at, time.Second); !errors.Is(err, collectd.ErrTooLarge) {
		t.Error(err)
	}
}

func TestNotify(t *testing.T) {
	for _, e := range ways {
		p, err := e.EncodeNotification(collectd.Notification{Severity: collectd.Warning, Instance: "nodes", Text: strings.Repeat("long ", 400)}, at)
		if err != nil || len(p) > collectd.MaxPacket {
			t.Fatal(len(p), err)
		}
		_, notices, err := fakes.ParsePacket(p, secrets, e.Security != collectd.Unprotected)
		if len(notices) != 1 && err == nil {
			t.Fatalf("%d notices", len(notices))
		}
	}
	p, _ := ways[2].EncodeNotification(collectd.Notification{Severity: collectd.Failure, Instance: "sinks", Text: "graphite lost"}, at)
	_, notices, err := fakes.ParsePacket(p, secrets, true)
	if err != nil || len(notices) != 1 || notices[0] != (fakes.Notification{Severity: 1, Host: "n1", Plugin: "junctionwharf", Instance: "sinks", Text: "graphite lost", Timestamp: at.Unix()}) {
		t.Errorf("%+v, %v", notices, err)
	}
}

func TestReadKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	write := func(text string, mode os.FileMode) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(path, mode); err != nil {
			t.Fatal(err)
		}
	}
	write("# users\nwharf: s3cret\nother:  x y \n", 0o600)
	if k, err := collectd.ReadKey(path, ""); err != nil || k != (collectd.Key{User: "wharf", Secret: "s3cret"}) {
		t.Error(k, err)
	}
	if k, err := collectd.ReadKey(path, "other"); err != nil || k.Secret != "x y" {
		t.Error(k, err)
	}
	for _, c := range []struct {
		text string
		mode os.FileMode
		user string
		want string
	}{{"wharf: s\n", 0o640, "", "0640"}, {"wharf: s\nrubbish\n", 0o600, "x", "line 2"}, {"", 0o600, "", "no key"}, {"a: b\n", 0o600, "c", `"c"`}, {":x\n", 0o600, "", "line 1"}} {
		write(c.text, c.mode)
		if _, err := collectd.ReadKey(path, c.user); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v", c.text, err)
		}
	}
	if _, err := collectd.ReadKey(path+"x", ""); err == nil {
		t.Error("no file and no error")
	}
}

// Any names make packets that are read back as one value each.
func FuzzLists(f *testing.F) {
	f.Add("volume.a", "type", "inst", uint64(7), byte(0))
	f.Add("", "t", "", uint64(1)<<63, byte(2))
	f.Add("a\x00b", "t\x00", "\x00", uint64(0), byte(1))
	f.Fuzz(func(t *testing.T, plugin, kind, instance string, n uint64, way byte) {
		if max(len(plugin), len(kind), len(instance)) > collectd.MaxName || strings.ContainsAny(plugin+kind+instance, "/\x00") || kind == "" {
			return
		}
		e := ways[int(way)%len(ways)]
		packets, err := e.EncodeValueLists([]collectd.ValueList{{plugin, kind, instance, []collectd.Value{{collectd.Derive, n}}}}, at, time.Second)
		if err != nil || len(packets) != 1 {
			t.Fatal(len(packets), err)
		}
		points, _, err := fakes.ParsePacket(packets[0], secrets, e.Security != collectd.Unprotected)
		if err != nil || len(points) != 1 || points[0].Value != float64(n) {
			t.Fatal(points, err)
		}
	})
}

// Garbage ends in an error, never in a panic of the stand-in.
func FuzzParsePacket(f *testing.F) {
	for _, e := range ways {
		packets, _ := e.EncodeValueLists([]collectd.ValueList{{"a", "b", "c", []collectd.Value{{collectd.Gauge, 1}, {collectd.Derive, 2}}}}, at, time.Second)
		f.Add(packets[0])
	}
	f.Add([]byte{2, 16, 0, 4})
	f.Fuzz(func(_ *testing.T, b []byte) { _, _, _ = fakes.ParsePacket(b, secrets, false) })
}
