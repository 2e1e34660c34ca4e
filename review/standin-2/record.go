package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: one line for each event, with the time since the start in milliseconds.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// printf writes one line.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.3f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
