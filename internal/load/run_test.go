package load

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/redcon"
)

// The period during which the test's broker sends no answers, measured from the start of the run.
const (
	stallFrom  = 500 * time.Millisecond
	stallUntil = 600 * time.Millisecond
)

// answersByUnits maps the units of a request to the answer of the test's broker; for "", it closes the connection.
var answersByUnits = map[string]string{"1": "$2\r\nok\r\n", "2": "-BUSY 100\r\n", "3": "-ERR failed\r\n", "4": ""}

// outcomesByUnits lists the outcome that the client must record for each of these answers, starting with 1 unit.
var outcomesByUnits = [...]Outcome{Served, Rejected, Failed, Closed}

// serve answers requests according to their units. It sends no answers during the stall.
func serve(conn net.Conn, startedAt time.Time) {
	defer func() { _ = conn.Close() }()
	in := redcon.NewReader(conn)
	for {
		command, err := in.ReadCommand()
		if err != nil {
			return
		}
		if since := time.Since(startedAt); since >= stallFrom && since < stallUntil {
			time.Sleep(stallUntil - since)
		}
		_, rest, _ := strings.Cut(string(command.Args[3]), "units=")
		answer := answersByUnits[rest[:1]]
		if answer == "" {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// A broker gives each kind of answer and stalls for 100 ms. Checks that each outcome is counted as such, that the
// latency of every request delayed by the stall includes the stall, and that a request without a free connection is
// counted as unsent. The test runs on a virtual clock, so the counts are exact.
func TestRunThroughAStall(t *testing.T) {
	for name, maxConnections := range map[string]int{"enough connections": 256, "8 connections": 8} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testStall(t, maxConnections) })
		})
	}
}

func testStall(t *testing.T, maxConnections int) {
	startedAt := time.Now()
	traffic := testTraffic()
	result, err := Run(context.Background(), traffic, Options{
		Addresses:      []string{"broker"},
		MaxConnections: maxConnections,
		Dial: func(string, time.Duration) (net.Conn, error) {
			near, far := net.Pipe()
			go serve(far, startedAt)
			return near, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	want, delayed := expectedOutcomes(traffic, maxConnections)
	if maxConnections == 8 && want[Unsent] == 0 || maxConnections > 8 && delayed < 20 {
		t.Fatalf("the traffic does not show the stall: expected outcomes %v, %d delayed answers", want, delayed)
	}
	all := result.All
	if all.Counts != want || all.Sent() != result.ByClass[0].Sent()+result.ByClass[1].Sent() {
		t.Errorf("got outcomes %v, want %v", all.Counts, want)
	}
	if int(all.Latency.TotalCount()) != want[Served]+want[Rejected]+want[Failed] {
		t.Errorf("got %d latencies for expected outcomes %v", all.Latency.TotalCount(), want)
	}
	if int(all.RejectionLatency.TotalCount()) != want[Rejected] {
		t.Errorf("got %d latencies of rejections for expected outcomes %v", all.RejectionLatency.TotalCount(), want)
	}
	slow := 0
	for _, bar := range all.Latency.Distribution() {
		if bar.From > 10 {
			slow += int(bar.Count)
		}
	}
	if slow != delayed {
		t.Errorf("got %d answers with a latency above 10 µs, want %d", slow, delayed)
	}
}

// expectedOutcomes returns the outcome counts of the traffic, and how many answered requests the stall delays.
func expectedOutcomes(traffic Traffic, maxConnections int) (want [outcomeCount]int, delayed int) {
	inStall := 0
	for a := range traffic.Arrivals {
		outcome := outcomesByUnits[a.Units-1]
		if a.At >= stallFrom && a.At < stallUntil {
			inStall++
			if inStall > maxConnections {
				outcome = Unsent
			} else if outcome.answered() {
				delayed++
			}
		}
		want[outcome]++
	}
	return want, delayed
}

// Checks that a run with a canceled context stops early and still returns its result.
func TestRunStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	traffic := testTraffic()
	traffic.Duration = time.Hour
	result, err := Run(ctx, traffic, Options{Addresses: []string{"127.0.0.1:1"}})
	if err != nil || result.All.Sent() > 1 {
		t.Errorf("got %d requests and error %v, want at most 1 request", result.All.Sent(), err)
	}
}
