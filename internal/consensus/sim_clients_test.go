package consensus

import (
	"errors"
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"

	"junctionwharf/clusterconfig"
)

// outcomeKind is the outcome of a proposal, as seen by its client.
type outcomeKind int

const (
	rejected outcomeKind = iota // for a reason other than the version; not recorded
	accepted                    // the change became active
	conflict                    // the proposal was not based on the active version
	unknown                     // the change may have become active, now or later
)

// The input and the output of an operation: a read, or a proposal that is based on the expected version.
type (
	operationInput struct {
		read     bool
		expected uint64
	}
	operationOutput struct {
		version uint64
		kind    outcomeKind
	}
)

// versionRegister is the sequential model for linearizability: a register with the document's version.
var versionRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(operationInput), output.(operationOutput)
		switch {
		case in.read:
			return out.version == version, version
		case out.kind == accepted:
			return version == in.expected && out.version == version+1, version + 1
		case out.kind == unknown && version == in.expected:
			return true, version + 1
		case out.kind == conflict:
			return version != in.expected, version
		}
		return true, version
	},
	Equal: func(a, b any) bool { return a == b },
}

// read reads from a voter and records the operation, unless the voter declines the read.
func (c *cluster) read(client int, v *simVoter) {
	document := v.Read(v.clock.read(c.Now))
	if c.fault == staleRead && v.IsLeader() {
		document = v.State().Document
	}
	if document == nil {
		return
	}
	c.operations = append(c.operations, porcupine.Operation{
		ClientId: 1000 + client,
		Input:    operationInput{read: true},
		Call:     c.Now,
		Output:   operationOutput{version: document.Version},
		Return:   c.Now + 1,
	})
}

// callAsClient sends a proposal or a read to a voter that considers itself the leader. Each client has at most one
// operation in progress, apart from those with an unknown outcome.
func (c *cluster) callAsClient(id int) {
	v := c.voters[c.random.IntN(len(c.voters))]
	if v.stopped || !v.IsLeader() {
		c.After(10_000, func() { c.callAsClient(id) })
		return
	}
	if c.random.IntN(2) == 0 {
		c.read(id, v)
		c.callLater(id)
		return
	}
	c.propose(id, v)
}

func (c *cluster) callLater(id int) {
	c.After(clusterconfig.Micros(20_000+c.random.IntN(200_000)), func() { c.callAsClient(id) })
}

func (c *cluster) propose(id int, v *simVoter) {
	now := v.clock.read(c.Now)
	expected := v.State().Document.Version
	if c.random.IntN(4) == 0 && expected > 0 {
		expected--
	}
	end := c.openCall(id, expected)
	changes := []clusterconfig.Change{
		{Key: "limit", Value: fmt.Sprint(1 + c.random.IntN(200))},
		{Key: "repeat", Value: []string{"yes", "no"}[c.random.IntN(2)]},
		{Key: "zone", Value: string(rune('a' + c.random.IntN(5)))},
	}
	p := clusterconfig.Proposal{Expected: expected, Author: "a", Reason: fmt.Sprint(c.Now)}
	p.Changes = changes[c.random.IntN(3):]
	if c.fault == uncommittedDone && v.leadership.proposed == "" {
		lessor := v.leadership.lessor
		if e, err := lessor.Propose(now, p); err == nil {
			defer func() { _ = lessor.Begin(e) }()
		}
	}
	c.run(v, func() {
		c.send(v, v.Propose(now, p, func(e clusterconfig.Entry, err error) {
			switch {
			case err == nil:
				end(operationOutput{e.Version, accepted})
			case errors.Is(err, clusterconfig.ErrVersionConflict):
				end(operationOutput{kind: conflict})
			case errors.Is(err, ErrOutcomeUnknown):
				end(operationOutput{kind: unknown})
			default:
				end(operationOutput{kind: rejected})
			}
		}))
	})
	timeout := func() { end(operationOutput{kind: unknown}) }
	c.After(3_000_000, timeout)
	c.openCalls = append(c.openCalls, timeout)
}

// openCall returns the function that ends a proposal, records it, and schedules the client's next operation. Only the
// first call of the function has an effect.
func (c *cluster) openCall(id int, expected uint64) (end func(operationOutput)) {
	ended, start := false, c.Now
	return func(out operationOutput) {
		if ended {
			return
		}
		ended = true
		returned := c.Now + 1
		if out.kind == unknown {
			returned = math.MaxInt64
		}
		if out.kind != rejected {
			c.operations = append(c.operations, porcupine.Operation{
				ClientId: id,
				Input:    operationInput{expected: expected},
				Call:     start,
				Output:   out,
				Return:   returned,
			})
		}
		if out.kind == unknown {
			id += clientCount // the operation stays open forever, so the client continues under a new id
		}
		c.callLater(id)
	}
}
