package fleetharness

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// All brokers start at once and receive their lists at once. Then two in three are killed and restarted. No node is
// idle or overloaded, and the first requests of newly started brokers go to different nodes.
func TestStartAndRestartTogether(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 6, Node: NodeSpec{Count: 5}})
	fleet.expectServed(t, 50, false)
	expectBalanced(t, fleet.TakeAttemptCounts())
	nodes := map[int]bool{}
	for _, n := range fleet.FirstNodes() {
		nodes[n] = true
	}
	if len(nodes) < 3 {
		t.Errorf("the first requests of 6 brokers went to %d nodes", len(nodes))
	}
	if err := fleet.RestartBrokers(ctx, 0, 2, 3, 5); err != nil {
		t.Fatal(err)
	}
	fleet.expectServed(t, 50, true)
	expectBalanced(t, fleet.TakeAttemptCounts())
}

// A broker that was stopped for 3 s resumes with outdated state. It does not find nodes unresponsive because of its own
// pause, and does not send extra requests for the time in which it was stopped.
func TestStoppedBroker(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 3, Node: NodeSpec{Count: 4}})
	fleet.expectServed(t, 20, false)
	if err := fleet.Signal(0, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	fleet.brokers[0].setDown(true)
	for end := Now() + 3*time.Second; Now() < end; {
		fleet.expectServed(t, 5, false, 1, 2)
	}
	from := fleet.Elapsed()
	if err := fleet.Signal(0, syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := fleet.awaitReady(ctx, fleet.brokers[0]); err != nil {
		t.Fatal(err)
	}
	fleet.brokers[0].setDown(false)
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 40, false, 0)
	expectBalanced(t, fleet.TakeAttemptCounts())
	for _, line := range fleet.LogLines(logNodeUnresponsive) {
		if line.Process == brokerName(0) && line.At >= from {
			t.Errorf("the resumed broker found a node unresponsive: %v", line)
		}
	}
}

// childProgramEnv passes the path of the daemon to the process that TestChildrenDieWithTheHarness kills.
const childProgramEnv = "FLEETHARNESS_CHILD"

// No process outlives the harness: the kernel kills its processes when the harness itself is killed.
func TestChildrenDieWithTheHarness(t *testing.T) {
	if program := os.Getenv(childProgramEnv); program != "" {
		runUntilKilled(t, program)
	}
	pids := killHarness(t)
	if len(pids) != 3 {
		t.Fatalf("the harness started %d processes, want 3", len(pids))
	}
	for _, pid := range pids {
		fd, err := unix.PidfdOpen(pid, 0)
		if err != nil {
			continue // the process has exited
		}
		if n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 10_000); n != 1 {
			t.Errorf("process %d still runs: %v", pid, err)
		}
		_ = unix.Close(fd)
	}
}

// runUntilKilled is the harness to be killed. It prints the ids of its processes, then 0, and waits.
func runUntilKilled(t *testing.T, program string) {
	daemonProgram = program
	fleet, _ := startFleet(t, Scenario{Brokers: 3, Node: NodeSpec{Count: 1}})
	for _, b := range fleet.brokers {
		fmt.Println("pid", b.command.Process.Pid)
	}
	fmt.Println("pid 0")
	select {}
}

// killHarness starts a harness, kills it after its processes have started, and returns their ids.
func killHarness(t *testing.T) []int {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run", t.Name())
	command.Env = append(os.Environ(), childProgramEnv+"="+daemonProgram)
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	var pids []int
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		pid := 0
		if _, err := fmt.Sscanf(lines.Text(), "pid %d", &pid); err != nil {
			continue // output of the testing package
		}
		if pid == 0 {
			break
		}
		pids = append(pids, pid)
	}
	_ = command.Process.Kill()
	_ = command.Wait() // it was killed
	return pids
}
