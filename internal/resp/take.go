package resp

import (
	"errors"
	"net"
	"runtime"
	"strings"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
)

// take handles one command and reports whether to read the next one.
func (c *client) take(cmd redcon.Command) bool {
	if len(cmd.Args) == 1 && strings.EqualFold(string(cmd.Args[0]), commandPing) {
		return c.reserve(len(cmd.Raw), 0) && c.pushReady(net.Buffers{[]byte(pongLine)}, false)
	}
	request, err := parseCommand(cmd.Raw, cmd.Args)
	limits := c.input.generations.At(c.reader.CommandEnd(), c.server.limits.Load())
	if err == nil {
		err = limits.check(request)
	}
	if err != nil {
		return c.refuse(cmd.Raw, err)
	}
	request.Generation = limits.Generation
	if !c.reserve(cap(cmd.Raw), c.server.memory.sizes.expect(request.Class)) {
		return c.rejectWithoutMemory(cmd.Raw)
	}
	loop := c.server.loop
	request.ReceivedAt = loop.Now()
	if loop.Backlogged() {
		c.whileWatchingPeer(func() { loop.WaitForCapacity(c.peerClosed.Load) })
	}
	if rejection := loop.Admit(request); rejection != nil {
		recycleCommandBuffer(cmd.Raw)
		return c.replyRejection(rejection)
	}
	id, repeatable := string(cmd.Args[argID]), limits.Repeatable[request.Class]
	if err := c.server.ids.add(id, repeatable); err != nil {
		return c.refuseID(cmd.Raw, err, request.Class, limits)
	}
	reply := &pendingReply{memory: c.takeMemory(), clientRequestID: id, repeatable: repeatable}
	reply.memory.class = request.Class
	reply.memory.isNext = func() bool { return c.isNext(reply) }
	request.Message.(*command).memory = reply.memory
	if !c.push(reply) {
		c.server.ids.end(reply.clientRequestID)
		return false
	}
	c.submit(request, reply)
	return true
}

// refuseID answers a request whose ID was not added, and reports whether to read on. If there is no room for the ID, the
// client may come again later.
func (c *client) refuseID(command []byte, err error, class string, limits *RequestLimits) (readOn bool) {
	if !errors.Is(err, errNoRoomForID) {
		c.releaseMemory()
		return c.refuse(command, err)
	}
	c.server.memory.rejectedIDs.Add(1)
	c.server.loop.CountRejection(class)
	recycleCommandBuffer(command)
	return c.replyRejection(&broker.Response{Verdict: broker.Rejected, RetryAfter: limits.RetryAfter})
}

// refuse answers a well-formed command that cannot be served with an error, and reports whether to read on. The other
// commands of the connection are not affected.
func (c *client) refuse(command []byte, err error) (readOn bool) {
	c.server.malformed.record(err)
	if !c.reserve(cap(command), 0) {
		return c.rejectWithoutMemory(command)
	}
	pushed := c.pushReady(net.Buffers{errorLine(err)}, false)
	recycleCommandBuffer(command)
	runtime.Gosched() // a client that repeats such commands at full speed must not delay the others
	return pushed
}

// submit submits an admitted request to the loop. The loop's response completes the reply.
func (c *client) submit(request *broker.Request, reply *pendingReply) {
	sent := request.Message.(*command)
	id := c.server.loop.SubmitAdmitted(request, func(response broker.Response) {
		mayHaveRun := sent.forwarded && response.Verdict != broker.Rejected
		if !mayHaveRun {
			c.server.ids.end(reply.clientRequestID)
		}
		if !sent.forwarded {
			recycleCommandBuffer(sent.raw)
		}
		c.complete(reply, response, mayHaveRun)
		c.Wake()
	})
	c.mu.Lock()
	reply.loopID = id
	reply.command = sent
	c.mu.Unlock()
}

// complete fills in a reply with the response to its request. If the writer has ended, it discards the response.
func (c *client) complete(reply *pendingReply, response broker.Response, mayHaveRun bool) {
	text := encodeResponse(response)
	long, _ := response.Value.(*stream)
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.command = nil // its buffer must not stay until the answer is written
	if c.released {
		if long != nil {
			long.abandon()
		}
		if mayHaveRun {
			c.server.ids.abandon(reply.clientRequestID, reply.repeatable)
		}
		return
	}
	reply.holdsID = mayHaveRun
	reply.memory.answered(answerBytes(response))
	reply.text = text
	reply.value = long
	reply.ready = true
}

// answerBytes returns the number of bytes that the server buffers for a response until it is written.
func answerBytes(response broker.Response) int {
	switch value := response.Value.(type) {
	case []byte:
		return len(value)
	case *stream:
		return pieceBytes
	}
	return 0
}

// pushReady queues an answer that needs no request to a node. rejection says whether it rejects a request.
func (c *client) pushReady(text net.Buffers, rejection bool) bool {
	reply := &pendingReply{ready: true, rejection: rejection, memory: c.takeMemory(), text: text}
	reply.memory.answered(0)
	return c.push(reply)
}

// awaitSpace waits while maxPipeline replies are pending.
func (c *client) awaitSpace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) < maxPipeline || c.released {
		return
	}
	c.whileWatchingPeer(func() {
		for len(c.pending) >= maxPipeline && !c.released {
			c.hasSpace.Wait()
		}
	})
}

// push queues a reply. It returns false if the writer has ended, so that the reply will not be written.
func (c *client) push(reply *pendingReply) bool {
	c.mu.Lock()
	released := c.released
	if released { // the writer has ended, so it will not release the memory
		reply.endMemory()
	} else {
		c.pending = append(c.pending, reply)
	}
	isRequest := reply.clientRequestID != "" || reply.rejection
	c.awaitingFirst = false
	c.hasRequest = c.hasRequest || isRequest
	c.mu.Unlock()
	if isRequest {
		c.server.RequestReceived(c, c.server.loop.SheddingLoad())
	} else {
		c.server.GreetingReceived(c)
	}
	if reply.ready {
		c.Wake()
	}
	return !released
}
