package fleetharness

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"junctionwharf/internal/console"
)

const (
	// readyPollInterval is the interval at which a starting broker is polled. It limits the accuracy of measured
	// restart times.
	readyPollInterval = 10 * time.Millisecond
	// callTimeout bounds a call that a broker answers immediately.
	callTimeout = time.Second
)

// errEndedAtStart reports that a broker's process exited before the broker answered.
var errEndedAtStart = errors.New("process exited during startup")

// broker is one broker across all restarts of its process.
type broker struct {
	number     int
	address    string // address for clients
	configPath string

	mu          sync.Mutex // guards the fields below
	command     *exec.Cmd
	done        chan struct{} // closed when the process has exited
	down        bool          // the harness has terminated or stopped the process
	clients     clientLink
	peerQuality linkQuality // for datagrams to and from the broker
}

// process returns the most recently started process, or nil if the broker was never started.
func (b *broker) process() (*os.Process, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.command == nil {
		return nil, nil
	}
	return b.command.Process, b.done
}

func (b *broker) setProcess(command *exec.Cmd, done chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.command = command
	b.done = done
}

func (b *broker) setDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
}

func (b *broker) isDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down
}

// kill kills the process, if there is one, and waits until it has exited.
func (b *broker) kill() {
	process, done := b.process()
	if process == nil {
		return
	}
	_ = process.Kill() // fails if the process has exited
	<-done
}

// startBroker starts a broker's process. known is the endpoint list that the broker had before a restart, or nil.
func (f *Fleet) startBroker(b *broker, known json.RawMessage) error {
	_, sitePath, err := f.configure(b, known)
	if err != nil {
		return err
	}
	command := exec.Command(f.Program, f.arguments(b, sitePath)...)
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+b.configPath, "TMPDIR="+filepath.Dir(b.configPath))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := f.startOnThread(command); err != nil {
		return err
	}
	done := make(chan struct{})
	b.setProcess(command, done)
	go func() { // ends with the process
		defer close(done)
		f.readLog(brokerName(b.number), output)
		_ = command.Wait() // most processes are killed, so an error is expected
	}()
	return nil
}

// arguments returns the command-line arguments of a broker.
func (f *Fleet) arguments(b *broker, sitePath string) []string {
	arguments := []string{"serve", "--handover=false", "--log-format", "json"}
	if f.isDedicatedVoter(b.number) {
		arguments = []string{"control", "--log-format", "json"}
	}
	if sitePath != "" {
		arguments = append(arguments, "--site", sitePath)
	}
	if f.scenario.Agreement.Voters > 0 {
		arguments = append(arguments, "--log-all") // the checker needs every change of a broker's view
	}
	return arguments
}

// awaitReady waits until a broker answers.
func (f *Fleet) awaitReady(ctx context.Context, b *broker) error {
	_, done := b.process()
	for ctx.Err() == nil {
		if f.answers(b) {
			return nil
		}
		select {
		case <-done:
			return fmt.Errorf("%s: %w", brokerName(b.number), errEndedAtStart)
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// answers reports whether a broker answers on its client port, or a control process on its console.
func (f *Fleet) answers(b *broker) bool {
	if f.isDedicatedVoter(b.number) {
		text, err := console.Call(f.consoleAddress(b.number), "check", callTimeout)
		return err == nil && string(text) == "SUCCESS\n"
	}
	conn, err := net.DialTimeout("tcp4", b.address, callTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout)) // a closed connection fails below
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(answer, "+PONG")
}

// terminate sends SIGKILL or SIGTERM to a broker and excuses the broker's pending requests. For SIGKILL it also waits
// until the process has exited.
func (f *Fleet) terminate(b *broker, signal syscall.Signal) {
	process, done := b.process()
	if process == nil {
		return
	}
	b.setDown(true)
	f.recorder.excuse(b.number)
	_ = process.Signal(signal) // fails if the process has exited
	if signal == syscall.SIGKILL {
		<-done
		f.recorder.addMessage(brokerName(b.number), logKilled)
	}
}
