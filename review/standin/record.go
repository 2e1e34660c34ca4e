package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, one line an event with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// line writes one event.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := float64(time.Since(r.start).Microseconds()) / 1000
	fmt.Fprintf(r.file, "%10.3f ms  %s\n", elapsed, fmt.Sprintf(format, args...))
}

// summary writes a line to the file and to standard output.
func (r *recorder) summary(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
