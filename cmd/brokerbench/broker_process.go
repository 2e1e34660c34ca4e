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

// brokerProcess is a broker that runs in its own process. One goroutine waits for the process and ends with it.
type brokerProcess struct {
	address string
	console string
	command *exec.Cmd
	ended   chan error // receives the result of Wait, once
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

// errorLines writes a broker's error and panic lines to standard error and drops all other lines. It filters them here,
// because earlier versions of the broker have no flag for the log level.
type errorLines struct{}

func (errorLines) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		if strings.Contains(line, "ERR") || strings.Contains(line, "panic") {
			_, _ = os.Stderr.WriteString(line)
		}
	}
	return len(p), nil
}

// metrics reads the broker's metrics from its console. It returns an empty map if the broker does not answer.
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

// kill ends the process immediately.
func (p *brokerProcess) kill() {
	_ = p.command.Process.Kill()
	<-p.ended //nolint:errcheck // killed on purpose: how it ended says nothing
}

// stop ends the process with SIGTERM, as the platform does, so that the broker exports its last interval.
func (p *brokerProcess) stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return <-p.ended
}

// peakKiB returns the peak memory of the process in KiB. The process must have ended.
func (p *brokerProcess) peakKiB() int64 {
	if usage, ok := p.command.ProcessState.SysUsage().(*syscall.Rusage); ok {
		return usage.Maxrss
	}
	return 0
}

// freeAddress returns a loopback address without a listener. If another process takes the address before the broker
// does, the broker does not start and the measurement fails.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// awaitServing waits until a broker answers clients. It returns an error if the broker ends first.
func awaitServing(ctx context.Context, address string, ended <-chan error) error {
	for !answersPing(address) {
		select {
		case err := <-ended:
			return fmt.Errorf("broker ended before it served clients: %s", fmt.Sprint(err)) // err may be nil
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
