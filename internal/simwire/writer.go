package simwire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"junctionwharf/scheduler"
)

// writeBufferBytes is the size of a Writer's buffer. Each reply is flushed once at its end. With a smaller buffer, a
// reply takes more writes.
const writeBufferBytes = 64 << 10

// Writer encodes replies to batches.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, writeBufferBytes)} }

// WriteAction writes one action of an instance.
func (w *Writer) WriteAction(instance string, action scheduler.Action) error {
	_, err := fmt.Fprintln(w.out, encodeAction(instance, action))
	if err != nil {
		return fmt.Errorf("write action: %w", err)
	}
	return nil
}

// WriteFailure reports to the simulator that an instance failed.
func (w *Writer) WriteFailure(instance, text string) error {
	_, err := fmt.Fprintln(w.out, instanceFailed, instance, singleLine(text))
	if err != nil {
		return fmt.Errorf("write FATAL line: %w", err)
	}
	return nil
}

// EndReply ends the reply to the batch with this number and flushes the buffer.
func (w *Writer) EndReply(number uint64) error {
	if _, err := fmt.Fprintln(w.out, replyEnd, number); err != nil {
		return fmt.Errorf("write end of reply: %w", err)
	}
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("flush reply: %w", err)
	}
	return nil
}

// encodeAction returns the line of an action without its line feed.
func encodeAction(instance string, action scheduler.Action) string {
	switch a := action.(type) {
	case scheduler.Forward:
		return encodeLine(forwardAction, instance, a.ID, a.Node, encodeDuration(a.Timeout))
	case scheduler.Reject:
		return encodeLine(rejectAction, instance, a.ID, encodeDuration(a.After))
	case scheduler.Fail:
		return encodeLine(failAction, instance, a.ID)
	case scheduler.Cancel:
		return encodeLine(cancelAction, instance, a.ID, a.Attempt)
	case scheduler.HealthCheck:
		return encodeLine(healthCheckAction, instance, a.Node)
	case scheduler.SendToPeer:
		return encodeLine(sendToPeerAction, instance, encodePeer(a.Peer), encodeBytes(a.Data))
	case scheduler.SetTimer:
		return encodeLine(setTimerAction, instance, a.Token, a.After.Microseconds())
	case scheduler.WatchEndpoints:
		return encodeLine(watchAction, instance, encodeFlag(a.On))
	case scheduler.FetchEndpoints:
		return encodeLine(fetchAction, instance)
	case scheduler.CloseIdleConnections:
		return encodeLine(closeIdleAction, instance, a.Node)
	case scheduler.Log:
		return encodeLine(logAction, instance, singleLine(a.Text()))
	default:
		return fmt.Sprintf("%s %s unknown action %T", instanceFailed, instance, action)
	}
}

// encodeLine joins the fields of a line with single spaces.
func encodeLine(parts ...any) string {
	return strings.TrimSuffix(fmt.Sprintln(parts...), "\n")
}

func encodePeer(peer int) string {
	if peer == scheduler.AllPeers {
		return allPeers
	}
	return strconv.Itoa(peer)
}

func encodeBytes(data []byte) string {
	if len(data) == 0 {
		return absent
	}
	return hex.EncodeToString(data)
}

func encodeFlag(on bool) string {
	if on {
		return flagTrue
	}
	return flagFalse
}

// encodeDuration returns whole microseconds, or "-" for a duration that is not set.
func encodeDuration(d time.Duration) string {
	if d <= 0 {
		return absent
	}
	return strconv.FormatInt(d.Microseconds(), 10)
}

// singleLine replaces control characters, which would end or corrupt a line of the reply, with spaces.
func singleLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
}
