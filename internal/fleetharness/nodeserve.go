package fleetharness

import (
	"fmt"
	"io"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/internal/fakes"
)

// minArguments is the number of arguments of a request: command name, key, id and options. A command with fewer
// arguments concerns only the connection and is answered with answerOK.
const minArguments = 4

// Answers of a node.
const (
	answerOK         = "+OK\r\n"
	answerBusy       = "-BUSY\r\n"
	answerSyntax     = "-SYNTAX\r\n"
	answerWrongShard = "-ERR another shard\r\n"
	noAnswer         = "" // the connection is closed
)

// serve reads and answers the commands of a connection until it ends.
func (c *nodeConn) serve() {
	defer func() {
		_ = c.Close()
		c.node.mu.Lock()
		delete(c.node.conns, c)
		c.node.mu.Unlock()
	}()
	in := redcon.NewReader(c.Conn)
	for {
		command, err := in.ReadCommand()
		if err != nil {
			return
		}
		text := c.serveCommand(command)
		if text == noAnswer {
			return
		}
		if !c.writeAnswer(text) {
			return
		}
	}
}

// writeAnswer writes an answer with the faults of the link. It reports whether the connection is still usable.
func (c *nodeConn) writeAnswer(text string) bool {
	c.node.mu.Lock()
	fault := c.node.faultOf(c.broker)
	c.node.mu.Unlock()
	if fault.cutAt > 0 && fault.cutAt < len(text) {
		_, _ = io.WriteString(c.Conn, text[:fault.cutAt]) // the connection is closed in any case
		resetOnClose(c.Conn)
		return false
	}
	return writePaced(c.Conn, text, fault.bytesPerSecond) == nil
}

// serveCommand serves one command and returns the answer, after the delays of the link in both directions. It records
// and checks the command, waits for a slot and sleeps for the service time.
func (c *nodeConn) serveCommand(command redcon.Command) string {
	if len(command.Args) < minArguments {
		return answerOK
	}
	n := c.node
	id := string(command.Args[2])
	options := string(command.Args[3])
	units := fakes.NumberField(options, "units")
	if !c.awaitRequest() {
		return noAnswer
	}
	now := Now()
	s := n.fleet.recorder.attemptArrived(id, attempt{node: n.number, broker: c.broker, arrivedAt: now, conn: c})
	if s == nil {
		return answerSyntax
	}
	if shard := int(fakes.NumberField(options, "shard")); shard != n.shard && shard >= 0 {
		n.fleet.recorder.attemptEnded(s, n.number, false)
		return answerWrongShard
	}
	n.fleet.checkDrain(n, c.broker, s, now)
	serviceTime, accepted := n.acquireSlot(s, now, units)
	if !accepted {
		n.fleet.recorder.attemptEnded(s, n.number, false)
		return answerBusy
	}
	time.Sleep(serviceTime)
	n.releaseSlot()
	inFlight, delivered := c.awaitAnswer()
	if !delivered {
		return noAnswer
	}
	n.fleet.recorder.attemptEnded(s, n.number, true)
	report := fmt.Sprintf("inflight=%d", inFlight)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(id), id, len(report), report)
}

// awaitRequest waits until a request has crossed the link. It returns false for a request that does not reach the node:
// the broker canceled it in transit, or the link was silent. On a silent link it returns after the fault has ended, and
// the caller closes the connection.
func (c *nodeConn) awaitRequest() bool {
	n := c.node
	n.mu.Lock()
	fault := n.faultOf(c.broker)
	transit := fault.requests.transitTime(n.random)
	n.mu.Unlock()
	if transit > 0 {
		time.Sleep(transit)
		if c.ended() {
			return false
		}
	}
	if fault.silent {
		c.awaitLink(func(f linkFault) bool { return !f.silent })
		return false
	}
	return true
}

// awaitAnswer waits until an answer has crossed the link. It returns false for an answer that was lost. inFlight is the
// load that the answer reports.
func (c *nodeConn) awaitAnswer() (inFlight int, delivered bool) {
	n := c.node
	n.mu.Lock()
	fault := n.faultOf(c.broker)
	transit := fault.answers.transitTime(n.random)
	if !n.reportsIdle {
		inFlight = n.inFlight
	}
	n.mu.Unlock()
	if transit > 0 {
		time.Sleep(transit)
	}
	if fault.withholdsAnswers() {
		c.awaitLink(func(f linkFault) bool { return !f.withholdsAnswers() })
		return 0, false
	}
	return inFlight, true
}

// awaitLink waits until the faults of the link satisfy wanted, or the node or the harness has been closed.
func (c *nodeConn) awaitLink(wanted func(linkFault) bool) {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for !wanted(n.faultOf(c.broker)) && !n.closed && !n.fleet.closed.Load() {
		n.changed.Wait()
	}
}

// acquireSlot queues a command until a slot is free and draws its service time. It returns false if the queue is full.
func (n *fakeNode) acquireSlot(
	s *request, now time.Duration, units float64,
) (serviceTime time.Duration, accepted bool) {
	spec := n.fleet.scenario.Node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.addUnits(now, units) {
		n.fleet.recorder.reportViolation(fmt.Sprintf("%s is cold and gets more than it bears", n.name), s)
	}
	if n.inFlight >= spec.Slots+spec.Queue {
		n.rejected++
		return 0, false
	}
	n.inFlight++
	for n.slotsInUse >= spec.Slots && !n.closed {
		n.changed.Wait()
	}
	n.slotsInUse++
	millis := units * spec.UnitMS / n.currentSpeed(Now()) * n.random.ExpFloat64()
	return milliseconds(millis), true
}

// releaseSlot counts a command as served and wakes the next waiting command.
func (n *fakeNode) releaseSlot() {
	startedAt := n.fleet.recorder.start()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slotsInUse--
	n.inFlight--
	n.changed.Signal()
	second := int((Now() - startedAt) / time.Second)
	if second < 0 {
		return
	}
	for len(n.servedBySecond) <= second {
		n.servedBySecond = append(n.servedBySecond, 0)
	}
	n.servedBySecond[second]++
}
