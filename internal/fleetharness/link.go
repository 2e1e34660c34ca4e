package fleetharness

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// retransmitTimeout is the time after which TCP first retransmits a lost packet (Linux's minimum). The time doubles
	// with each retransmission, up to maxRetransmitTimeout. Longer timeouts exceed the deadlines of all requests.
	retransmitTimeout    = 200 * time.Millisecond
	maxRetransmitTimeout = 8 * retransmitTimeout
	// paceChunk is the number of bytes written at a time on a slow link. It is smaller than any command or answer.
	paceChunk = 16
)

// linkQuality describes one direction of a link. The zero value is a link without delay or loss.
type linkQuality struct {
	delay  time.Duration
	jitter time.Duration // upper bound of the random addition to delay
	loss   float64       // fraction of packets that are lost and that TCP retransmits
}

// combine returns the quality of a link with the delays, jitter and loss of both arguments.
func (q linkQuality) combine(other linkQuality) linkQuality {
	return linkQuality{
		delay:  q.delay + other.delay,
		jitter: q.jitter + other.jitter,
		loss:   max(q.loss, other.loss),
	}
}

// add adds the delay, jitter and loss of other, or subtracts them if sign is -1.
func (q *linkQuality) add(other linkQuality, sign int) {
	q.delay += time.Duration(sign) * other.delay
	q.jitter += time.Duration(sign) * other.jitter
	q.loss += float64(sign) * other.loss
}

// transitTime draws how long data takes to cross the link.
func (q linkQuality) transitTime(random *rand.Rand) time.Duration {
	span := q.delay + time.Duration(random.Float64()*float64(q.jitter))
	timeout := retransmitTimeout
	for random.Float64() < q.loss && timeout <= maxRetransmitTimeout {
		span += timeout
		timeout *= 2
	}
	return span
}

// linkFault describes the faults of the link between a broker and a node. The zero value has no faults.
type linkFault struct {
	silent         bool // the node's answers are withheld, and it reads no further requests
	answersLost    bool // the node's answers are withheld, but it reads and serves requests
	answers        linkQuality
	requests       linkQuality
	bytesPerSecond float64 // of answers; 0 for no limit
	cutAt          int     // the connection is reset after this many bytes of an answer; 0 for never
}

// combine returns the faults of a link that has the faults of both arguments.
func (f linkFault) combine(other linkFault) linkFault {
	return linkFault{
		silent:         f.silent || other.silent,
		answersLost:    f.answersLost || other.answersLost,
		answers:        f.answers.combine(other.answers),
		requests:       f.requests.combine(other.requests),
		bytesPerSecond: max(f.bytesPerSecond, other.bytesPerSecond),
		cutAt:          max(f.cutAt, other.cutAt),
	}
}

// withholdsAnswers reports whether answers are not delivered.
func (f linkFault) withholdsAnswers() bool { return f.silent || f.answersLost }

// clientLink describes the link from a broker's clients to the broker. The zero value has no faults.
type clientLink struct {
	linkQuality
	bytesPerSecond float64 // 0 for no limit
	cutAt          int     // clients reset the connection after this many bytes of a request; 0 for never
	burst          float64 // multiple of the usual rate at which clients send requests; 0 for the usual rate
}

// send writes a request with the delay and pace of the link. seed determines the random delay.
func (l clientLink) send(to io.Writer, text string, seed uint64) error {
	if l.delay > 0 || l.jitter > 0 {
		time.Sleep(l.transitTime(rand.New(rand.NewPCG(seed, 1))))
	}
	return writePaced(to, text, l.bytesPerSecond)
}

// writePaced writes text at the given rate, or at once if the rate is 0.
func writePaced(to io.Writer, text string, bytesPerSecond float64) error {
	for bytesPerSecond > 0 && len(text) > paceChunk {
		if _, err := io.WriteString(to, text[:paceChunk]); err != nil {
			return err
		}
		text = text[paceChunk:]
		time.Sleep(time.Duration(paceChunk / bytesPerSecond * float64(time.Second)))
	}
	_, err := io.WriteString(to, text)
	return err
}

// resetOnClose makes closing a connection send a reset, as the kernel does for a killed process.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
