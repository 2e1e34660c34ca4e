package load

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/redcon"
)

func traffic() Traffic {
	return Traffic{Classes: []RequestClass{{Name: "read", Share: 3, Deadline: time.Second}, {Name: "write", Share: 1, Write: true, Deadline: time.Second}},
		Plans: []string{"gold", "basic"}, Volumes: 10, Shards: 2, MaxUnits: 4, Rate: 500, Duration: time.Second, Seed: 7}
}

// The same seed draws the same requests, in order, at the rate and in the mix.
func TestArrivals(t *testing.T) {
	a, b := slices.Collect(traffic().Arrivals), slices.Collect(traffic().Arrivals)
	if !slices.Equal(a, b) {
		t.Error("two draws from one seed differ")
	}
	reads := 0
	for i, x := range a {
		if i > 0 && x.At < a[i-1].At || x.At >= time.Second || x.Volume < 1 || x.Volume > 10 || x.Shard > 1 || x.Units < 1 || x.Units > 4 {
			t.Fatalf("%+v", x)
		}
		if x.Class == 0 {
			reads++
		}
	}
	if len(a) < 400 || len(a) > 600 || reads*4 < len(a)*2 || reads*10 > len(a)*9 {
		t.Errorf("%d requests, %d reads", len(a), reads)
	}
	other := traffic()
	other.Seed = 8
	if slices.Equal(a, slices.Collect(other.Arrivals)) {
		t.Error("another seed draws the same")
	}
}

func TestCheck(t *testing.T) {
	for _, spoil := range []func(*Traffic){
		func(t *Traffic) { t.Rate = 0 }, func(t *Traffic) { t.Classes = nil }, func(t *Traffic) { t.Duration = -1 },
		func(t *Traffic) { t.Rate = 1e12 }, func(t *Traffic) { t.Volumes = 0 }, func(t *Traffic) { t.Skew = 0.5 },
	} {
		x := traffic()
		spoil(&x)
		if _, err := Run(context.Background(), x, Options{Addresses: []string{"127.0.0.1:1"}}); err == nil {
			t.Errorf("%+v is taken", x)
		}
	}
}

// serve answers on conn by the units that a request names; during the standstill nothing is answered.
func serve(conn net.Conn, began time.Time, stillFrom, stillUntil time.Duration) {
	defer func() { _ = conn.Close() }()
	answers := map[string]string{"1": "$2\r\nok\r\n", "2": "-BUSY 100\r\n", "3": "-ERR failed\r\n", "4": ""}
	for in := redcon.NewReader(conn); ; {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		if since := time.Since(began); since >= stillFrom && since < stillUntil {
			time.Sleep(stillUntil - since)
		}
		_, rest, _ := strings.Cut(string(cmd.Args[3]), "units=")
		answer := answers[rest[:1]]
		if answer == "" {
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
}

// Answers are told apart, and a server that stands still shows in the latency of all requests that it held up; what the
// clients had no connection left for is counted as that. All on a virtual clock, so that the counts are exact.
func TestRun(t *testing.T) {
	const stillFrom, stillUntil = 500 * time.Millisecond, 600 * time.Millisecond
	verdictOf := [...]Outcome{Served, Rejected, Failed, Closed}
	for _, connections := range []int{256, 8} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			x := traffic()
			r, err := Run(context.Background(), x, Options{Addresses: []string{"broker"}, MaxConnections: connections,
				Dial: func(string, time.Duration) (net.Conn, error) {
					near, far := net.Pipe()
					go serve(far, began, stillFrom, stillUntil)
					return near, nil
				}})
			if err != nil {
				t.Fatal(err)
			}
			var want [verdicts]int
			heldUp, inStill := 0, 0
			for a := range x.Arrivals {
				v := verdictOf[a.Units-1]
				if a.At >= stillFrom && a.At < stillUntil {
					if inStill++; inStill > connections {
						v = Unsent
					} else if v < Lost {
						heldUp++
					}
				}
				want[v]++
			}
			if connections == 8 && want[Unsent] == 0 || connections > 8 && heldUp < 20 {
				t.Fatalf("a standstill that shows nothing: %v, %d held up", want, heldUp)
			}
			if r.All.Counts != want || r.All.Sent() != r.ByClass[0].Sent()+r.ByClass[1].Sent() ||
				int(r.All.Latency.TotalCount()) != want[Served]+want[Rejected]+want[Failed] || int(r.All.RejectionLatency.TotalCount()) != want[Rejected] {
				t.Errorf("%d connections: %v, want %v", connections, r.All.Counts, want)
			}
			late := 0
			for _, bar := range r.All.Latency.Distribution() {
				if bar.From > 10 {
					late += int(bar.Count)
				}
			}
			if late != heldUp {
				t.Errorf("%d connections: %d answers show the standstill, want %d", connections, late, heldUp)
			}
		})
	}
}

// A run ends with its context, and still tells what came back.
func TestRunStops(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	x := traffic()
	x.Duration = time.Hour
	r, err := Run(ctx, x, Options{Addresses: []string{"127.0.0.1:1"}})
	if err != nil || r.All.Sent() > 1 {
		t.Error(r.All.Sent(), err)
	}
}
