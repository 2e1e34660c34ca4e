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

// Log messages of brokers that the harness searches for, and its own message.
const (
	logViewApplied      = agreement.LogConfigurationApplied
	logVersionActivated = consensus.LogVersionActivated
	logKilled           = "killed" // logged by the harness when it has killed a process
)

// presentMessages maps log messages of earlier versions to the present ones, because `fleet run --broker NAME=PROGRAM`
// compares with earlier versions. Without the map, the run of an earlier program would show no versions and seem to be
// without conflicts.
var presentMessages = map[string]string{
	"acts":             logViewApplied,
	"version in force": logVersionActivated,
}

// maxLogLineSize is the maximum length in bytes of a process's log line. Reading stops at a longer line, and all later
// lines are lost.
const maxLogLineSize = 1 << 20

// LogLine is a structured log line of a process.
type LogLine struct {
	At         time.Duration     `json:"at"` // since the start of the traffic
	Process    string            `json:"process"`
	Message    string            `json:"msg"`
	Attributes map[string]string `json:"keys,omitempty"`
}

// hasMessage reports whether a line has a message. Values that vary between such lines are in the attributes.
func (l LogLine) hasMessage(message string) bool { return l.Message == message }

// readLog records the log lines of a process until the process exits.
func (f *Fleet) readLog(process string, output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLogLineSize)
	for lines.Scan() {
		f.recorder.addLine(f.recorder.parseLine(process, lines.Bytes()))
	}
}

// parseLine parses one log line. The lines of a process of several brokers name their broker. A line that is not JSON
// becomes a message without attributes.
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

// addMessage records a log line of the harness about a process.
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

// nextLine returns a channel that is closed when the next line is added. The caller must hold r.mu.
func (r *recorder) nextLine() <-chan struct{} {
	if r.lineAdded == nil {
		r.lineAdded = make(chan struct{})
	}
	return r.lineAdded
}

// linesWith returns the lines recorded so far that have the given message.
func (r *recorder) linesWith(message string) []LogLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.logs), func(l LogLine) bool { return !l.hasMessage(message) })
}
