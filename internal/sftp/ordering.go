package sftp

import (
	"fmt"
	"net"
	"slices"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
)

// pendingCommand is a command that waits for its answer. It may first wait for earlier commands on the same file.
type pendingCommand struct {
	*operation
	id        uint32
	deadline  time.Time
	timer     *time.Timer // rejects the command if it is not submitted by its deadline; nil if it was submitted at once
	request   *broker.Request
	submitted bool                     // whether the request was submitted to the loop
	loopID    uint64                   // id of the request in the loop
	served    func(answer) net.Buffers // encodes a node's answer; called with session.mu held
}

// submit accepts a command and submits it to the loop, after the answers to earlier commands that conflict with it. The
// command's deadline is counted from this call, even while the command waits for an earlier one. served encodes a
// node's answer and is called with s.mu held. For errors see dispatch.
func (s *session) submit(id uint32, op *operation, served func(answer) net.Buffers) error {
	request := s.mapping.request(op)
	if request == nil {
		s.sendStatus(id, statusNoSuchFile, "no volume holds this path")
		return nil
	}
	request.Transport = s.server.transport
	timeout := request.Timeout.Duration()
	command := &pendingCommand{
		operation: op,
		id:        id,
		request:   request,
		deadline:  time.Now().Add(timeout),
		served:    served,
	}
	op.memory = s.reserve(op, command.deadline)
	if op.memory == nil {
		s.send(encodeRejection(id, 0))
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.queue(command); err != nil {
		command.endMemory()
		return err
	}
	if s.mayStart(command) {
		s.start(command)
		return nil
	}
	command.timer = time.AfterFunc(timeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !command.submitted { // the command was never sent, so the client can safely retry it
			s.complete(command, broker.Response{Verdict: broker.Rejected})
		}
	})
	return nil
}

// queue adds a command to s.pending. It returns an error if the session is closed to commands, or if a pending command
// has the same id. The caller holds s.mu.
func (s *session) queue(command *pendingCommand) error {
	if s.closedToCommands {
		return net.ErrClosed
	}
	for _, other := range s.pending { // with equal ids, the answers would be ambiguous
		if other.id == command.id {
			return fmt.Errorf("%w: a command with id %d is open", errPacket, command.id)
		}
	}
	s.awaitingFirst = false
	s.pending = append(s.pending, command)
	return nil
}

// mayStart reports whether the command conflicts with no earlier pending command. The caller holds s.mu.
func (s *session) mayStart(command *pendingCommand) bool {
	for _, earlier := range s.pending {
		if earlier == command {
			return true
		}
		if earlier.conflicts(command.operation) {
			return false
		}
	}
	return false
}

// start submits a command to the loop. The caller holds s.mu.
func (s *session) start(command *pendingCommand) {
	if command.timer != nil {
		command.timer.Stop()
	}
	command.submitted = true
	command.request.Timeout = max(0, broker.MicrosOf(time.Until(command.deadline)))
	command.loopID = s.server.loop.Submit(command.request, func(response broker.Response) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.complete(command, response)
	})
}

// complete answers a pending command and starts the commands that waited for it. It has no effect on a command that is
// no longer pending. If the session is closed to commands, it only removes the command. The caller holds s.mu.
func (s *session) complete(command *pendingCommand, response broker.Response) {
	index := slices.Index(s.pending, command)
	if index < 0 {
		return
	}
	s.pending = append(s.pending[:index:index], s.pending[index+1:]...)
	if s.closedToCommands || s.writerEnded {
		command.endMemory()
		return
	}
	m := encodeResponse(command.id, response, command.served)
	if command.memory != nil {
		command.memory.ForceResize(commandOverhead + pool.MessageSize(m))
		s.outMemory = append(s.outMemory, command.memory)
	}
	s.appendOut(m)
	for _, next := range s.pending {
		if !next.submitted && s.mayStart(next) {
			s.start(next)
		}
	}
	s.Wake()
}

// encodeResponse encodes the final answer to a command.
func encodeResponse(id uint32, response broker.Response, served func(answer) net.Buffers) net.Buffers {
	switch response.Verdict {
	case broker.Served:
		a, _ := response.Value.(answer)
		return served(a)
	case broker.Rejected:
		return encodeRejection(id, response.RetryAfter)
	case broker.Failed:
	}
	return encodeFailure(id)
}
