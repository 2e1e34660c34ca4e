package fleetharness

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// retransmitTimeout is when TCP first sends again what was lost (Linux's minimum); each further time takes twice as
	// long, up to maxRetransmitTimeout. Beyond that the deadlines of all requests are over.
	retransmitTimeout    = 200 * time.Millisecond
	maxRetransmitTimeout = 8 * retransmitTimeout
	// paceChunk is how many bytes are written at a time where a link is slow: fewer than any command or answer has.
	paceChunk = 16
)

// linkQuality is one direction of a link. The zero value is a good one.
type linkQuality struct {
	delay  time.Duration
	jitter time.Duration // random, on top of it
	loss   float64       // part of what is sent that TCP sends again
}

// combine is what holds where two things are wrong with a link.
func (q linkQuality) combine(other linkQuality) linkQuality {
	return linkQuality{
		delay:  q.delay + other.delay,
		jitter: q.jitter + other.jitter,
		loss:   max(q.loss, other.loss),
	}
}

// add puts a delay, jitter and loss on top, or takes them off with a sign of -1.
func (q *linkQuality) add(other linkQuality, sign int) {
	q.delay += time.Duration(sign) * other.delay
	q.jitter += time.Duration(sign) * other.jitter
	q.loss += float64(sign) * other.loss
}

// transitTime draws how long something is on its way.
func (q linkQuality) transitTime(random *rand.Rand) time.Duration {
	span := q.delay + time.Duration(random.Float64()*float64(q.jitter))
	timeout := retransmitTimeout
	for random.Float64() < q.loss && timeout <= maxRetransmitTimeout {
		span += timeout
		timeout *= 2
	}
	return span
}

// linkFault is what is wrong between a broker and a node. The zero value is nothing.
type linkFault struct {
	silent         bool // what the node would say is not sent, nor is more read
	answersLost    bool // what it would say is not sent, but it reads and works
	answers        linkQuality
	requests       linkQuality
	bytesPerSecond float64 // of answers; 0 for no bound
	cutAt          int     // the connection is reset after so many bytes of an answer; 0 for never
}

// combine is what holds where two things are wrong with a link.
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

// withholdsAnswers reports whether answers do not get through.
func (f linkFault) withholdsAnswers() bool { return f.silent || f.answersLost }

// clientLink is the link from a broker's clients to it. The zero value is a good one.
type clientLink struct {
	linkQuality
	bytesPerSecond float64 // 0 for no bound
	cutAt          int     // clients reset after so many bytes of a request; 0 for never
	burst          float64 // clients ask so many times as often; 0 for as usual
}

// send writes a request as the link lets it through; seed decides what is random.
func (l clientLink) send(to io.Writer, text string, seed uint64) error {
	if l.delay > 0 || l.jitter > 0 {
		time.Sleep(l.transitTime(rand.New(rand.NewPCG(seed, 1))))
	}
	return writePaced(to, text, l.bytesPerSecond)
}

// writePaced writes so many bytes a second, or all at once for 0.
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

// resetOnClose has a connection's close send a reset, as the kernel does for a killed process.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}
