package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"junctionwharf/internal/console"
)

// brokerProcess is a broker in a process of its own. One goroutine waits for its end, which is the process's.
type brokerProcess struct {
	address string
	console string
	command *exec.Cmd
	ended   chan error // receives the process's end, once
}

func startProcess(command *exec.Cmd, address, consoleAddress string) (*brokerProcess, error) {
	command.Stderr = errorLines{}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &brokerProcess{address: address, console: consoleAddress, command: command, ended: make(chan error, 1)}
	go func() { p.ended <- command.Wait() }()
	return p, nil
}

// errorLines passes on what a broker logs of errors, and drops the rest: earlier versions have no flag for it.
type errorLines struct{}

func (errorLines) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		if strings.Contains(line, "ERR") || strings.Contains(line, "panic") {
			_, _ = os.Stderr.WriteString(line)
		}
	}
	return len(p), nil
}

// metrics reads the broker's metrics from its console. A broker that is gone has none.
func (p *brokerProcess) metrics() map[string]float64 {
	metrics := map[string]float64{}
	text, _ := console.Call(p.console, "vars", 2*time.Second)
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		number, _, _ := strings.Cut(rest, "|")
		if value, err := strconv.ParseFloat(number, 64); err == nil {
			metrics[strings.TrimPrefix(name, "edge_balancer.")] = value
		}
	}
	return metrics
}

// kill ends the process at once.
func (p *brokerProcess) kill() {
	_ = p.command.Process.Kill()
	<-p.ended //nolint:errcheck // killed on purpose: how it ended says nothing
}

// stop ends the process as the platform does, so that it exports its last interval.
func (p *brokerProcess) stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return <-p.ended
}

// peakKiB is the most memory the process held; it must have ended.
func (p *brokerProcess) peakKiB() int64 {
	if usage, ok := p.command.ProcessState.SysUsage().(*syscall.Rusage); ok {
		return usage.Maxrss
	}
	return 0
}

// freeAddress returns an address of loopback where nothing listens. Another process may take it before the caller does;
// then the broker does not start and the measurement fails.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// awaitServing waits until a broker answers clients, or has ended.
func awaitServing(ctx context.Context, address string, ended <-chan error) error {
	for !answersPing(address) {
		select {
		case err := <-ended:
			return fmt.Errorf("the broker ended: %s", fmt.Sprint(err)) // nil where it ended by itself
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// answersPing reports whether a RESP server at address answers a PING.
func answersPing(address string) bool {
	const pong = "+PONG\r\n"
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	answer := make([]byte, len(pong))
	_, err = io.ReadFull(conn, answer)
	return err == nil && string(answer) == pong
}
