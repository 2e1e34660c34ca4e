package metrics

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"testing"
	"time"
)

var now = time.Unix(1_700_000_000, 500_000_000)

func TestGraphite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan string, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		text, _ := io.ReadAll(conn)
		got <- string(text)
	}()
	g := Graphite{Address: ln.Addr().String(), Prefix: "wharf.n1"}
	if err := g.Push(context.Background(), now, []Sample{{Name: "taken", Value: 7, Counter: true}, {Name: "open", Value: 2, Counter: false}}); err != nil {
		t.Fatal(err)
	}
	if text := <-got; text != "wharf.n1.taken 7 1700000000\nwharf.n1.open 2 1700000000\n" {
		t.Errorf("%q", text)
	}
	ln.Close()
	if err := g.Push(context.Background(), now, nil); err == nil {
		t.Error("no receiver and no error")
	}
}

// The operators' tools read StatsD lines.
func TestStatsd(t *testing.T) {
	got := string(Statsd([]Sample{{Name: "success.lesson-read", Value: 812, Counter: true}, {Name: "inflight", Value: 14, Counter: false}}))
	if got != "edge_balancer.success.lesson-read:812|c\nedge_balancer.inflight:14|g\n" {
		t.Errorf("%q", got)
	}
}

// decode reads a datagram as the protocol's specification has it.
func decode(t *testing.T, b []byte) (host string, at, interval uint64, values map[string]float64) {
	t.Helper()
	values = map[string]float64{}
	var kind, instance string
	for len(b) > 0 {
		part, n := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		body := b[4:n]
		b = b[n:]
		word := string(bytes.TrimSuffix(body, []byte{0}))
		switch part {
		case partHost:
			host = word
		case partTimeHR:
			at = binary.BigEndian.Uint64(body)
		case partIntervalHR:
			interval = binary.BigEndian.Uint64(body)
		case partPlugin:
			if word != plugin {
				t.Errorf("plugin %q", word)
			}
		case partType:
			kind = word
		case partTypeInstance:
			instance = word
		case partValues:
			if binary.BigEndian.Uint16(body) != 1 || len(body) != 11 {
				t.Fatalf("values %x", body)
			}
			switch fmt.Sprint(kind, body[2]) {
			case "derive2":
				values[instance] = float64(binary.BigEndian.Uint64(body[3:]))
			case "gauge1":
				values[instance] = math.Float64frombits(binary.LittleEndian.Uint64(body[3:]))
			default:
				t.Errorf("type %s with kind %d", kind, body[2])
			}
		default:
			t.Errorf("part %#x", part)
		}
	}
	return host, at, interval, values
}

func TestCollectd(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var samples []Sample
	for i := range 60 {
		samples = append(samples, Sample{Name: fmt.Sprintf("figure_%d", i), Value: uint64(i * 1000), Counter: i%2 == 0})
	}
	c := Collectd{Address: conn.LocalAddr().String(), Host: "n1"}
	if err := c.Push(context.Background(), now, 10*time.Second, samples); err != nil {
		t.Fatal(err)
	}
	all := map[string]float64{}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for len(all) < len(samples) {
		b := make([]byte, 4096)
		n, _, err := conn.ReadFrom(b)
		if err != nil || n > maxPacket {
			t.Fatalf("%d bytes, %v", n, err)
		}
		host, at, interval, values := decode(t, b[:n])
		if host != "n1" || at != 1_700_000_000<<30+1<<29 || interval != 10<<30 {
			t.Errorf("host %s, time %d, interval %d", host, at, interval)
		}
		for name, value := range values {
			all[name] = value
		}
	}
	for _, s := range samples {
		if all[s.Name] != float64(s.Value) {
			t.Errorf("%s is %v, want %d", s.Name, all[s.Name], s.Value)
		}
	}
}

// A receiver that is down costs one line, not one a push.
func TestRunLogsOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var lines []string
	calls := 0
	Run(ctx, time.Millisecond, func(context.Context, time.Time) error {
		if calls++; calls >= 6 {
			cancel()
		}
		if calls < 4 {
			return errors.New("down")
		}
		return nil
	}, func(line string) { lines = append(lines, line) })
	if fmt.Sprint(lines) != "[metrics: down metrics: back]" {
		t.Errorf("%q", lines)
	}
}
