package simwire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// settings is a settings document with each kind of setting that reaches the scheduler.
const settings = `{"bounds":{"cancel":true,"maxAttempts":3,"maxRetryAfter":1000000,"peers":true,"novelty":4},` +
	`"classes":[{"name":"put","aim":400000,"deadline":2000000,"effect":"keyed","keyScope":"cell","window":3000000,` +
	`"importance":3,"byArrival":true}],"discovery":"subscribe","invariants":{"coldShare":0.2,"fall":2000000,` +
	`"resendRatio":0.15,"extraFloor":3,"ratioSpan":5000000},"nInstances":3,"ordinal":1,` +
	`"serviceLevels":[{"name":"low","ceilingRate":37,"capDepth":60,"floorRate":2.5,"nominal":5,"parts":1,"price":0.9,` +
	`"tolerance":8}],` +
	`"specifics":{"youngLimit":70,"usualUnits":2,"maxUnits":8,"withinShare":0.3,"idleWorth":0.1},"zone":"a"}`

// input is one batch with every event of the protocol.
const input = "FRAME 5000 3\n" +
	"START gateway_1 77 " + settings + "\n" +
	"LIST 2 2\n" +
	"M 10.0.0.1:80 a std 4 in_service 1.5 -\n" +
	"M 10.0.0.2:80 b std 5 terminating 1 4000\n" +
	"MEMBERSHIP gateway_1 cached 9 2\n" +
	"MEMBERSHIP gateway_1 failed 9 -\n" +
	"KNOCK gateway_1 12 put low 91f03b7c55d20a64 240000 vol 2.5 -1 3 1 1\n" +
	"ALARM gateway_1 1\n" +
	"TIMED_OUT_CLIENT gateway_1 12\n" +
	"SAMPLED gateway_1 1400 10.0.0.1:80 success svc_ms:14.5\n" +
	"WHISPER gateway_1 2 68692037\n" +
	"ENDED gateway_1 12 0 10.0.0.1:80 overloaded 900 0 86 3.5 cpu_share:0.5,busy_reqs:7\n" +
	"HEADERS gateway_1 12 10.0.0.1:80 9250 0\n" +
	"HALT gateway_1\n" +
	"EOF_BATCH\n"

// wantSettings returns the scheduler settings that the settings document describes.
func wantSettings() scheduler.Settings {
	return scheduler.Settings{
		Brokers:        3,
		Ordinal:        1,
		Zone:           "a",
		Subscribe:      true,
		MeanUnits:      2,
		MaxUnits:       8,
		SlowStartUnits: 70,
		ShareWeight:    0.3,
		SpareWeight:    0.1,
		Classes: []scheduler.Class{{
			Name:             "put",
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         2 * time.Second,
			PriorityWeight:   3,
			Idempotency:      scheduler.IdempotentWithKey,
			Scope:            scheduler.ScopeShard,
			DedupWindow:      3 * time.Second,
			Ordered:          true,
		}},
		Plans: []scheduler.Plan{{
			Name:           "low",
			Rate:           5,
			ReservedRate:   2.5,
			Limit:          37,
			LimitBurst:     60,
			LimitOverdraft: 8,
			Weight:         1,
			Price:          0.9,
		}},
		Capabilities: scheduler.Capabilities{MaxAttempts: 3, MaxRetryAfter: time.Second, Cancel: true, Peers: true},
		Rules: scheduler.Rules{
			InitialCapacity:   0.2,
			OverloadWindow:    2 * time.Second,
			RetryBudgetMin:    3,
			RetryBudgetRatio:  0.15,
			RetryBudgetWindow: 5 * time.Second,
		},
	}
}

// wantEvents returns the events of input between START and HALT.
func wantEvents() []scheduler.Event {
	serviceTime := scheduler.NoLoadReport
	serviceTime.ServiceTime = 14500 * time.Microsecond
	busy := scheduler.NoLoadReport
	busy.Utilization = 0.5
	busy.InFlight = 7
	endpoints := []scheduler.Endpoint{
		{Name: "10.0.0.1:80", Zone: "a", Kind: "std", Shard: 4, Weight: 1.5},
		{
			Name: "10.0.0.2:80", Zone: "b", Kind: "std", Shard: 5, State: scheduler.Draining, Weight: 1,
			StartedAt: 4 * time.Millisecond,
		},
	}
	return []scheduler.Event{
		scheduler.EndpointUpdate{Kind: scheduler.CachedUpdate, Version: 9, Endpoints: endpoints},
		scheduler.EndpointUpdate{Kind: scheduler.FailedUpdate, Version: 9},
		scheduler.Request{
			ID: 12, Class: "put", Plan: "low", Key: "91f03b7c55d20a64", Remaining: 240 * time.Millisecond,
			Volume: "vol", Units: 2.5, Shard: -1, Brokers: 3, Retry: true, Write: true,
		},
		scheduler.TimerFired{Token: 1},
		scheduler.ClientGone{ID: 12},
		scheduler.HealthCheckResult{Node: "10.0.0.1:80", Latency: 1400 * time.Microsecond, Load: serviceTime},
		scheduler.PeerMessage{From: 2, Data: []byte("hi 7")},
		scheduler.AttemptEnded{
			ID: 12, Node: "10.0.0.1:80", Outcome: scheduler.Overloaded, Latency: 900 * time.Microsecond,
			RateUsed: 86, ServedElsewhere: 3.5, Load: busy,
		},
		scheduler.ResponseStarted{ID: 12, Node: "10.0.0.1:80", Latency: 9250 * time.Microsecond},
	}
}

func TestReaderDecodesEachEvent(t *testing.T) {
	reader := NewReader(strings.NewReader(input))
	batch, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	if batch.Now != 5*time.Millisecond || batch.Number != 3 || len(batch.Items) != 11 {
		t.Fatalf("batch %d at %v has %d items, want batch 3 at 5ms with 11", batch.Number, batch.Now, len(batch.Items))
	}
	start := batch.Items[0].Start
	if start.Seed != 77 || !reflect.DeepEqual(start.Settings, wantSettings()) {
		t.Errorf("start is %+v, want seed 77 and settings %+v", start, wantSettings())
	}
	for i, event := range wantEvents() {
		if got := batch.Items[i+1].Event; !reflect.DeepEqual(got, event) {
			t.Errorf("event %d is %+v, want %+v", i, got, event)
		}
	}
	if !batch.Items[10].Killed {
		t.Errorf("item 10 is %+v, want the kill of the instance", batch.Items[10])
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("error after the last batch is %v, want io.EOF", err)
	}
}

// The error for malformed input names the line and the cause.
func TestReaderRejectsMalformedInput(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"frame":      {"HELLO\n", "line 1"},
		"event":      {"FRAME 1 1\nDANCE gateway_1\n", "unknown event"},
		"count":      {"FRAME 1 1\nALARM gateway_1\n", "line 2: ALARM: want 3 fields"},
		"extra":      {"FRAME 1 1\nALARM gateway_1 4 5\n", "want 3 fields"},
		"number":     {"FRAME 1 1\nALARM gateway_1 x\n", "not a whole number"},
		"range":      {"FRAME 1 1\nTIMED_OUT_CLIENT gateway_1 9999999999999999\n", "not a whole number"},
		"json":       {"FRAME 1 1\nSTART gateway_1 1 {\"a\":\n", "settings"},
		"short list": {"FRAME 1 1\nLIST 0 2\nM a z k 0 in_service 1 -\nEOF_BATCH\n", "want 2 rows"},
		"no list":    {"FRAME 1 1\nMEMBERSHIP gateway_1 full 1 3\n", "was not received"},
		"outcome":    {"FRAME 1 1\nSAMPLED gateway_1 1 a maybe -\n", "unknown word"},
		"load":       {"FRAME 1 1\nSAMPLED gateway_1 1 a success svc_ms:fast\n", "not a load value"},
		"flag":       {"FRAME 1 1\nENDED gateway_1 1 0 a success 1 2 0 0 -\n", "neither 0 nor 1"},
		"truncated":  {"FRAME 1 1\nALARM gateway_1 1\n", "ends inside"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(test.text)).Next()
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "line ") {
				t.Errorf("error is %v, want one with a line number and %q", err, test.want)
			}
			var lineError *LineError
			if !errors.As(err, &lineError) {
				t.Errorf("error is a %T, want a *LineError", err)
			}
		})
	}
}

func TestReaderErrorsMatchSentinels(t *testing.T) {
	tests := map[string]struct {
		text string
		want error
	}{
		"truncated":     {"FRAME 1 1\nALARM gateway_1 1\n", ErrTruncated},
		"unknown event": {"FRAME 1 1\nDANCE gateway_1\n", ErrUnknownEvent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := NewReader(strings.NewReader(test.text)).Next(); !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
		})
	}
}

// The reader returns an error or io.EOF for any input and does not panic.
func FuzzReader(f *testing.F) {
	f.Add(input)
	f.Add("FRAME 1 1\nEOF_BATCH\n")
	f.Add("FRAME 1 1\nKNOCK g 1 a b c - d NaN 1 1 0 0\nEOF_BATCH\n")
	f.Fuzz(func(_ *testing.T, text string) {
		reader := NewReader(strings.NewReader(text))
		for {
			if _, err := reader.Next(); err != nil {
				return
			}
		}
	})
}
