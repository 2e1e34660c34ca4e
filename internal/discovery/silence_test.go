package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// pipes is a listener in memory, so that an agent's silence passes on a virtual clock.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipes() *pipes { return &pipes{make(chan net.Conn), make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.conns <- there:
		return here, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// told is how the rules count what an agent has to say to a call that fell silent: 6 s after that, or 2 s after the call's wait if
// that is later.
func told(call, silence time.Time, hold time.Duration) time.Time {
	a, b := silence.Add(6*time.Second), call.Add(hold+2*time.Second)
	if a.After(b) {
		return a
	}
	return b
}

// A watch falls silent at any moment of its life, before its first answer or later, and its agent stays silent for any time. A
// drain that it learns of meanwhile is known within the settings' grace, counted from the agent's return or from when the rules
// hold the silent call for told.
func TestDrainBehindSilence(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		for _, brokers := range []int{1, 300} {
			for quiet := time.Duration(0); quiet < 2*time.Second; quiet += 370 * time.Millisecond { // of the watch, before the silence
				for _, silent := range []time.Duration{0, 170 * time.Millisecond, 900 * time.Millisecond, 3100 * time.Millisecond, 11300 * time.Millisecond, 29700 * time.Millisecond} {
					synctest.Test(t, func(t *testing.T) { drainBehindSilence(t, grace, brokers, quiet, silent) })
				}
			}
		}
	}
}

// answerDrain tells of the drain, whole or as a change; who knows it waits.
func answerDrain(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Query().Get("index") {
	case "":
		fmt.Fprint(w, strings.Replace(strings.Replace(wholeText, "41", "42", 1), "SERVING", "DRAINING", 1))
	case "41":
		fmt.Fprint(w, strings.Replace(changeText, "43", "42", 1))
	default:
		<-r.Context().Done()
	}
}

// drainKnown runs a watcher until it knows of the drain, ends it and the server, and returns when that was.
func drainKnown(w *Watcher, server *http.Server) time.Time {
	ctx, cancel := context.WithCancel(context.Background())
	known, ended := make(chan time.Time, 1), make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx, broker.NewClock(), func(e broker.Event) {
			if l := e.(broker.NodesListed); len(l.Nodes) == 1 && l.Nodes[0].State == scheduler.Draining {
				select {
				case known <- time.Now():
				default:
				}
			}
		})
	}()
	at := <-known
	cancel()
	<-ended
	w.client.CloseIdleConnections()
	server.Close()
	synctest.Wait()
	return at
}

func drainBehindSilence(t *testing.T, grace time.Duration, brokers int, quiet, silent time.Duration) {
	began := time.Now()
	silence := began.Add(quiet)
	back := silence.Add(silent)
	var last time.Time // when the call that fell silent began
	ln := newPipes()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := time.Now()
		index := r.URL.Query().Get("index")
		if call.Before(silence) && index == "" {
			fmt.Fprint(w, wholeText)
			return
		}
		if call.Before(back) { // it says nothing any more, even after its return
			if last.IsZero() {
				last = call
			}
			<-r.Context().Done()
			return
		}
		answerDrain(w, r)
	})}
	go server.Serve(ln)
	w := NewWatcher("agent", Options{Brokers: brokers, DrainGrace: grace, Log: logging.Discard()})
	w.client.Transport = &http.Transport{DialContext: ln.dial}
	at := drainKnown(w, server)
	most := back
	if !last.IsZero() {
		// A watch that waits is silent to who asked, whatever the agent does; a call that wants the whole list is no watch.
		if hold := w.waits.Load().hold; last.Before(silence) && told(last, silence, hold).After(most) {
			most = told(last, silence, hold)
		}
	}
	if late := at.Sub(most); late > grace {
		t.Errorf("grace %v, %d brokers: silent from %v for %v: known %v after it counts as told", grace, brokers, quiet, silent, late)
	}
}

// Whatever became of the calls before, refused, not connected or given up, and whether or not discovery is asked by all brokers: a
// drain is known 6 s and the grace after discovery had it and could be reached.
func TestToldAfterFailedCalls(t *testing.T) {
	for _, asked := range []bool{false, true} {
		for _, grace := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2 * time.Second} {
			for _, brokers := range []int{1, 300} {
				for how := range 4 {
					for down := 100 * time.Millisecond; down < 24*time.Second; down += down/3 + 700*time.Millisecond {
						synctest.Test(t, func(t *testing.T) { toldAfterFailedCalls(t, asked, grace, brokers, how, down) })
					}
				}
			}
		}
	}
}

func toldAfterFailedCalls(t *testing.T, asked bool, grace time.Duration, brokers, how int, down time.Duration) {
	fails := time.Now().Add(400 * time.Millisecond)
	back := fails.Add(down)
	had := back
	if how == 3 { // only the one call hangs, the others would be answered
		had, back = fails.Add(down/2), fails
	}
	ln := newPipes()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, index := time.Now(), r.URL.Query().Get("index")
		switch {
		case call.Before(fails) && index == "":
			fmt.Fprint(w, wholeText)
		case call.Before(fails) && how < 3: // the watch ends as calls begin to fail
			time.Sleep(time.Until(fails))
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case call.Before(back) && how == 0:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case call.Before(back): // it says nothing any more; of a watch that hangs from before, how 3
			<-r.Context().Done()
		default:
			answerDrain(w, r)
		}
	})}
	go server.Serve(ln)
	w := NewWatcher("agent", Options{Brokers: brokers, DrainGrace: grace, SharedService: asked, Log: logging.Discard()})
	w.client.Transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		if now := time.Now(); how == 2 && !now.Before(fails) && now.Before(back) {
			return nil, syscall.ECONNREFUSED
		}
		return ln.dial(ctx, network, address)
	}}
	if late := drainKnown(w, server).Sub(had.Add(toldAfter)); late > grace {
		t.Errorf("asked %v, grace %v, %d brokers, way %d, down for %v: known %v after it counts as told", asked, grace, brokers, how, down, late)
	}
}

// A whole list of an older count is not believed, but whom it names as draining gets nothing more. Changes of one are not taken.
func TestOlderList(t *testing.T) {
	w := NewWatcher("", Options{Brokers: 1, Log: logging.Discard()})
	var posted []broker.NodesListed
	post := func(e broker.Event) { posted = append(posted, e.(broker.NodesListed)) }
	clock := broker.NewClock()
	list := func(text string) *EndpointList {
		l, err := ParseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	held := list(wholeText)
	if err := w.order(held); err != nil {
		t.Fatal(err)
	}
	w.take(held, clock, post)
	for _, older := range []string{`{"seq":7,"whole":true,"hosts":[{"host":"a","block":3,"health":"DRAINING"},{"host":"b","block":1,"health":"SERVING"}]}`,
		`{"seq":7,"whole":false,"hosts":[{"host":"a","block":3,"health":"DRAINING"}]}`} {
		if err := w.order(list(older)); err == nil {
			t.Fatalf("%s is believed", older)
		}
	}
	older := w.leavers(list(`{"seq":7,"whole":true,"hosts":[{"host":"a","block":3,"health":"DRAINING"},{"host":"b","block":1,"health":"SERVING"},{"host":"c","health":"DELETED"}]}`))
	w.take(older, clock, post)
	if len(posted) != 2 || posted[1].Kind != scheduler.DeltaUpdate || len(posted[1].Nodes) != 1 || posted[1].Nodes[0].Name != "a" || posted[1].Nodes[0].State != scheduler.Draining {
		t.Errorf("%+v", posted)
	}
	if held := w.Current(); held.Version != 41 || len(held.Endpoints) != 1 {
		t.Errorf("%+v", held)
	}
	if err := w.order(list(strings.Replace(wholeText, "41", "42", 1))); err != nil {
		t.Error(err)
	}
}
