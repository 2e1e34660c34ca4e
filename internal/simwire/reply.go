package simwire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"junctionwharf/scheduler"
)

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter writes replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 64<<10)} }

// Act writes one action of an instance.
func (w *Writer) Act(who string, action scheduler.Action) error {
	_, err := fmt.Fprintln(w.out, actionText(who, action))
	if err != nil {
		return fmt.Errorf("write action: %w", err)
	}
	return nil
}

// Fatal reports that the module failed for an instance.
func (w *Writer) Fatal(who, text string) error {
	_, err := fmt.Fprintf(w.out, "FATAL %s %s\n", who, oneLine(text))
	if err != nil {
		return fmt.Errorf("write fatal: %w", err)
	}
	return nil
}

// End closes the reply to a batch and flushes it.
func (w *Writer) End(number uint64) error {
	if _, err := fmt.Fprintf(w.out, "NEXT %d\n", number); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("flush reply: %w", err)
	}
	return nil
}

func actionText(who string, action scheduler.Action) string {
	switch a := action.(type) {
	case scheduler.Forward:
		return fmt.Sprintf("SUBMIT_TO %s %d %s %s", who, a.ID, a.Node, spanText(a.Timeout))
	case scheduler.Reject:
		return fmt.Sprintf("TURN_AWAY %s %d %s", who, a.ID, spanText(a.After))
	case scheduler.Fail:
		return fmt.Sprintf("REPORT_FAILURE %s %d", who, a.ID)
	case scheduler.Cancel:
		return fmt.Sprintf("UNDO_SEND %s %d %d", who, a.ID, a.Attempt)
	case scheduler.HealthCheck:
		return fmt.Sprintf("TOUCH %s %s", who, a.Node)
	case scheduler.SendToPeer:
		peer := "all"
		if a.Peer != scheduler.AllPeers {
			peer = fmt.Sprint(a.Peer)
		}
		data := "-"
		if len(a.Data) > 0 {
			data = hex.EncodeToString(a.Data)
		}
		return fmt.Sprintf("ANNOUNCE %s %s %s", who, peer, data)
	case scheduler.SetTimer:
		return fmt.Sprintf("NOTIFY_ME %s %d %d", who, a.Token, a.After.Microseconds())
	case scheduler.WatchEndpoints:
		on := 0
		if a.On {
			on = 1
		}
		return fmt.Sprintf("LISTEN %s %d", who, on)
	case scheduler.FetchEndpoints:
		return fmt.Sprintf("LIST_ALL %s", who)
	case scheduler.CloseIdleConnections:
		return fmt.Sprintf("FREE_LINKS %s %s", who, a.Node)
	case scheduler.Log:
		return fmt.Sprintf("NOTE_DOWN %s %s", who, oneLine(a.Text()))
	default:
		return fmt.Sprintf("FATAL %s unknown action %T", who, action)
	}
}

func spanText(d time.Duration) string {
	if d <= 0 {
		return "-"
	}
	return fmt.Sprint(d.Microseconds())
}

func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
}
