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

// The time in which the test's broker answers nothing, from the start of the run.
const (
	stallFrom  = 500 * time.Millisecond
	stallUntil = 600 * time.Millisecond
)

// answersByUnits are what the test's broker answers to a request of so many units; an empty one closes the connection.
var answersByUnits = map[string]string{"1": "$2\r\nok\r\n", "2": "-BUSY 100\r\n", "3": "-ERR failed\r\n", "4": ""}

// outcomesByUnits are what the client makes of these answers, from 1 unit on.
var outcomesByUnits = [...]Outcome{Served, Rejected, Failed, Closed}

// serve answers by the units that a request names; during the stall nothing is answered.
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

// A broker answers in each of the ways that there are, and stalls for 100 ms. The outcomes are told apart, the stall
// shows in the latency of all requests that it held up, and a request for which the client had no connection left
// counts as unsent. All runs on a virtual clock, so that the counts are exact.
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
	want, heldUp := expectedOutcomes(traffic, maxConnections)
	if maxConnections == 8 && want[Unsent] == 0 || maxConnections > 8 && heldUp < 20 {
		t.Fatalf("a stall that shows nothing: %v, %d held up", want, heldUp)
	}
	all := result.All
	if all.Counts != want || all.Sent() != result.ByClass[0].Sent()+result.ByClass[1].Sent() {
		t.Errorf("%v, want %v", all.Counts, want)
	}
	if int(all.Latency.TotalCount()) != want[Served]+want[Rejected]+want[Failed] {
		t.Errorf("%d latencies for %v", all.Latency.TotalCount(), want)
	}
	if int(all.RejectionLatency.TotalCount()) != want[Rejected] {
		t.Errorf("%d latencies of rejections for %v", all.RejectionLatency.TotalCount(), want)
	}
	slow := 0
	for _, bar := range all.Latency.Distribution() {
		if bar.From > 10 {
			slow += int(bar.Count)
		}
	}
	if slow != heldUp {
		t.Errorf("%d answers show the stall, want %d", slow, heldUp)
	}
}

// expectedOutcomes counts the outcomes that the traffic must have, and the answers that the stall holds up.
func expectedOutcomes(traffic Traffic, maxConnections int) (want [outcomeCount]int, heldUp int) {
	inStall := 0
	for a := range traffic.Arrivals {
		outcome := outcomesByUnits[a.Units-1]
		if a.At >= stallFrom && a.At < stallUntil {
			inStall++
			if inStall > maxConnections {
				outcome = Unsent
			} else if outcome.answered() {
				heldUp++
			}
		}
		want[outcome]++
	}
	return want, heldUp
}

// A run ends with its context, and still tells what came back.
func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	traffic := testTraffic()
	traffic.Duration = time.Hour
	result, err := Run(ctx, traffic, Options{Addresses: []string{"127.0.0.1:1"}})
	if err != nil || result.All.Sent() > 1 {
		t.Error(result.All.Sent(), err)
	}
}
