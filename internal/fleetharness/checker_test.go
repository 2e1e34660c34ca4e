package fleetharness

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// The checker finds a violation of each rule.
func TestCheckerFindsViolations(t *testing.T) {
	ended := &nodeConn{}
	open := &nodeConn{}
	open.Conn, _ = net.Pipe()
	for i, c := range []struct {
		rule string
		do   func(r *recorder, s *request)
	}{
		{"unsafe request written whole", func(r *recorder, s *request) {
			s.write = true
			for range 2 {
				r.attemptArrived(s.id, attempt{conn: ended})
				r.attemptEnded(s, 0, true)
			}
		}},
		{"two attempts out", func(r *recorder, s *request) {
			r.attemptArrived(s.id, attempt{conn: open})
			r.attemptArrived(s.id, attempt{conn: open, node: 1})
			time.Sleep(2 * attemptOverlap) // the overlap is judged after attemptOverlap
		}},
		{"refusal for a write", func(r *recorder, s *request) {
			s.write = true
			r.attemptArrived(s.id, attempt{conn: ended})
			r.attemptEnded(s, 0, true)
			r.requestEnded(s, OutcomeRejected, false)
		}},
		{"no final answer", func(*recorder, *request) {}},
		{"without an answer", func(r *recorder, s *request) { r.requestEnded(s, OutcomeFailed, true) }},
		{"late answer", func(r *recorder, s *request) {
			s.sentAt -= time.Minute
			r.requestEnded(s, OutcomeServed, false)
		}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			r := newRecorder(3)
			s := &request{id: fmt.Sprint("r", i), sentAt: Now(), deadline: time.Second}
			r.addRequest(s)
			c.do(r, s)
			r.checkAtEnd()
			violations := r.violationsSoFar()
			found := slices.ContainsFunc(violations, func(v Violation) bool {
				return strings.Contains(v.Rule, c.rule) && strings.Contains(v.Trace, "seed 3")
			})
			if !found {
				t.Errorf("violations found: %v", violations)
			}
		})
	}
}

// viewApplied returns the log line of a broker that begins to act on a view.
func viewApplied(process string, at time.Duration, attributes map[string]string) LogLine {
	all := map[string]string{"epoch": "7"}
	for key, value := range attributes {
		all[key] = value
	}
	return LogLine{At: at, Process: process, Message: logViewApplied, Attributes: all}
}

// The checker finds a broker that acts on an old version after another broker acted on the new version. It does not
// report a broker that was stopped or restricted, or that had prepared the new version.
func TestCheckerFindsConflicts(t *testing.T) {
	const ms = time.Millisecond
	applied := func(process string, at time.Duration,
		version, pending, restricted string, before time.Duration) LogLine {
		return viewApplied(process, at, map[string]string{
			"version":    version,
			"preparing":  pending,
			"restricted": restricted,
			"before_us":  fmt.Sprint(before.Microseconds()),
		})
	}
	common := []LogLine{
		applied("a", 0, "1", "0", "false", 0),
		applied("b", 0, "1", "0", "false", 0),
		applied("a", 100*ms, "2", "0", "false", ms),
	}
	for _, c := range []struct {
		name string
		more []LogLine
		want time.Duration
	}{
		{"active", []LogLine{applied("b", 600*ms, "2", "0", "false", 10*ms)}, 490 * ms},
		{"stopped", []LogLine{applied("b", 600*ms, "0", "0", "true", 550*ms)}, 0},
		{"restricted", []LogLine{
			applied("b", 60*ms, "1", "0", "true", ms),
			applied("b", 600*ms, "2", "0", "false", ms),
		}, 0},
		{"prepared", []LogLine{
			applied("b", 60*ms, "1", "2", "false", ms),
			applied("b", 600*ms, "2", "0", "false", ms),
		}, 0},
		{"killed late", []LogLine{{At: 300 * ms, Process: "b", Message: logKilled}}, 200 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(0)
			r.startedAt -= time.Second
			r.logs = slices.Concat(common, c.more)
			got := r.longestConflict()
			if got.LongestUS != c.want.Microseconds() || (c.want > 0) != (got.Trace != "") {
				t.Errorf("longest conflict %+v, want %v", got, c.want)
			}
		})
	}
}

// Brokers act on one version when the fleet starts, long before the origin of the time axis, and on the next version
// after it. If moveStart did not shift the first lines, brokers would seem to act on the first version for seconds
// after others had acted on the next.
func TestMoveStartShiftsLogLines(t *testing.T) {
	r := newRecorder(0)
	r.startedAt -= 14 * time.Second
	applied := func(process string, at time.Duration, version string) {
		r.addLine(viewApplied(process, at-r.startedAt, map[string]string{"version": version, "before_us": "1000"}))
	}
	now := Now() - 5*time.Second // the checker reads lines up to the present time
	for _, process := range []string{"a", "b"} {
		applied(process, now-2*time.Second, "1")
	}
	r.moveStart(now)
	applied("a", now+time.Second, "2")
	applied("b", now+time.Second, "2")
	if c := r.longestConflict(); c.LongestUS > 0 || c.Versions != 2 || c.Spans != 4 {
		t.Errorf("without a conflict: %+v", c)
	}
	applied("b", now+1500*time.Millisecond, "1")
	applied("b", now+2*time.Second, "2")
	if c := r.longestConflict(); c.LongestUS < 900_000 {
		t.Errorf("a broker that returned to an old version was not found: %+v", c)
	}
}

// Log messages of an earlier version of the program are recognized. Otherwise a comparison run with the earlier program
// would show no versions and therefore no conflicts.
func TestEarlierMessagesAreFound(t *testing.T) {
	r := newRecorder(0)
	for earlier, present := range map[string]string{"acts": logViewApplied, "version in force": logVersionActivated} {
		line := r.parseLine("broker-1", []byte(`{"msg":"`+earlier+`","mono_us":5,"version":2}`))
		if !line.hasMessage(present) || line.Attributes["version"] != "2" {
			t.Errorf("line with message %q was parsed as %+v", earlier, line)
		}
	}
}
