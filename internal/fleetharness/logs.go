package fleetharness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"junctionwharf/internal/agreement"
	"junctionwharf/internal/consensus"
)

// Messages that the harness looks for in what brokers log, and its own.
const (
	logViewApplied      = agreement.LogConfigurationApplied
	logVersionActivated = consensus.LogVersionActivated
	logKilled           = "killed" // the harness itself: a process has ended
)

// presentMessages maps messages of earlier versions, which `fleet run --broker NAME=PROGRAM` compares, to those of now.
// Without it a run of an earlier program would show no versions and look clean.
var presentMessages = map[string]string{
	"acts":             logViewApplied,
	"version in force": logVersionActivated,
}

// maxLogLineSize is the longest line in bytes that is read of a process; what follows a longer one is lost.
const maxLogLineSize = 1 << 20

// LogLine is a structured line that a process logged.
type LogLine struct {
	At         time.Duration     `json:"at"` // from the start of the traffic
	Process    string            `json:"process"`
	Message    string            `json:"msg"`
	Attributes map[string]string `json:"keys,omitempty"`
}

// hasMessage reports whether a line has a message; what differs between lines of one message is in the attributes.
func (l LogLine) hasMessage(message string) bool { return l.Message == message }

// readLog records what a process logs, until it ends.
func (f *Fleet) readLog(process string, output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLogLineSize)
	for lines.Scan() {
		f.recorder.addLine(f.recorder.parseLine(process, lines.Bytes()))
	}
}

// parseLine reads one line. A process of many brokers names the broker in it. What is no JSON is a message by itself.
func (r *recorder) parseLine(process string, text []byte) LogLine {
	startedAt := r.start()
	line := LogLine{At: Now() - startedAt, Process: process, Message: string(text)}
	var raw map[string]any
	if json.Unmarshal(text, &raw) != nil {
		return line
	}
	line.Attributes = map[string]string{}
	for key, value := range raw {
		switch key {
		case "msg":
			line.Message = fmt.Sprint(value)
			if present, found := presentMessages[line.Message]; found {
				line.Message = present
			}
		case "mono_us":
			if micros, ok := value.(float64); ok {
				line.At = time.Duration(micros*float64(time.Microsecond)) - startedAt
			}
		case "broker":
			line.Process = fmt.Sprint(value)
		case "time", "level":
		default:
			line.Attributes[key] = fmt.Sprint(value)
		}
	}
	return line
}

// addMessage records a line of the harness itself about a process.
func (r *recorder) addMessage(process, message string) {
	r.addLine(LogLine{At: Now() - r.start(), Process: process, Message: message})
}

func (r *recorder) addLine(line LogLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.logs) < maxLogLines {
		r.logs = append(r.logs, line)
	}
	if r.lineAdded != nil {
		close(r.lineAdded)
		r.lineAdded = nil
	}
}

// nextLine is closed with the next line; r.mu is held.
func (r *recorder) nextLine() <-chan struct{} {
	if r.lineAdded == nil {
		r.lineAdded = make(chan struct{})
	}
	return r.lineAdded
}

// linesWith returns the lines so far that have a message.
func (r *recorder) linesWith(message string) []LogLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.logs), func(l LogLine) bool { return !l.hasMessage(message) })
}
