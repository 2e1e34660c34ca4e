package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	longValue     = 4 << 20         // bytes; the longest that the pages name
	readTime      = 4 * time.Second // for one value
	readPiece     = 32 << 10
	slowReaders   = 4
	valuesEach    = 3 // requests that a client sends at once on its connection
	beforeSIGTERM = 500 * time.Millisecond
	// beforeSIGKILL is the time from SIGTERM to SIGKILL. The pages allow no less than 3.2 s here: the longest deadline
	// of 2.5 s and 0.7 s more.
	beforeSIGKILL = 9 * time.Second
)

// slowValue: clients take some seconds to read values of 4 MiB while the broker is restarted as planned. Does the broker
// cut off a value that its node still gives?
func slowValue(root, dir string, trouble bool) (verdict, error) {
	w, err := newWorld(root, dir, trouble, 3, 8, nil)
	if err != nil {
		return verdict{}, err
	}
	defer w.end()
	value := strings.Repeat("0123456789abcdef", longValue/16)
	var cutAtNode atomic.Int64
	for _, n := range w.nodes {
		n.serve = func(c *nodeConn, r request) {
			n.work(r)
			c.writing.Lock()
			defer c.writing.Unlock()
			if r.class != "bulk-export" {
				_, _ = c.Write([]byte(n.answer(r)))
				return
			}
			_, err := c.Write([]byte("*3\r\n" + bulk(value) + "$-1\r\n" + bulk(n.report())))
			w.log.printf("node %s: gave the value of %s: %v", n.name, r.id, err)
			if err != nil {
				cutAtNode.Add(1)
			}
		}
	}
	if err := w.startBrokers(); err != nil {
		return verdict{}, err
	}
	b := w.brokers[0]
	var whole, cut, other atomic.Int64
	var readers sync.WaitGroup
	for i := range slowReaders {
		readers.Go(func() {
			volume, plan := volumeOf(i)
			var calls []call
			for range valuesEach {
				calls = append(calls, call{id: newID(), class: "bulk-export", plan: plan, volume: volume, shard: i,
					units: 2, hosts: 1, wait: 2500 * time.Millisecond})
			}
			results := readSlowly(b.listen, calls)
			for k, q := range calls {
				w.log.printf("client: %s: %s", q.id, results[k])
				switch results[k].outcome {
				case valueWhole:
					whole.Add(1)
				case valueCut, valueMissing:
					cut.Add(1)
				case otherAnswer:
					other.Add(1)
				}
			}
		})
	}
	time.Sleep(beforeSIGTERM)
	byItself := "no SIGTERM was sent"
	if trouble {
		b.signal(syscall.SIGTERM)
		sent := time.Now()
		w.log.printf("platform: SIGTERM to broker %s", b.name)
		select {
		case <-b.ended:
			byItself = fmt.Sprintf("the broker ended by itself %d ms after SIGTERM", time.Since(sent).Milliseconds())
		case <-time.After(beforeSIGKILL):
			b.signal(syscall.SIGKILL)
			byItself = "the broker ran until SIGKILL"
		}
		w.log.printf("platform: %s", byItself)
	}
	readers.Wait()
	text := fmt.Sprintf("%d values cut off or never given, %d whole, %d refused or failed; at nodes %d cut off; %s",
		cut.Load(), whole.Load(), other.Load(), cutAtNode.Load(), byItself)
	w.log.printf("%s", text)
	if whole.Load() == 0 {
		return verdict{}, errors.New(text)
	}
	return verdict{int(cut.Load()), text}, nil
}

// valueOutcome is what became of a request.
type valueOutcome string

const (
	valueWhole   valueOutcome = "whole"
	valueCut     valueOutcome = "cut off"
	valueMissing valueOutcome = "no answer"
	otherAnswer  valueOutcome = "refused or failed"
)

type valueResult struct {
	outcome valueOutcome
	got     int
	err     error
}

func (r valueResult) String() string {
	return fmt.Sprintf("%s, %d of %d bytes, %v", r.outcome, r.got, longValue, r.err)
}

// readSlowly sends requests at once on one connection and reads each value in equal pieces over readTime.
func readSlowly(address string, calls []call) []valueResult {
	results := make([]valueResult, len(calls))
	for i := range results {
		results[i].outcome = valueMissing
	}
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readPiece)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		results[0].err = err
		return results
	}
	defer conn.Close()
	var commands []byte
	for _, q := range calls {
		commands = append(commands, q.encode()...)
	}
	if _, err := conn.Write(commands); err != nil {
		results[0].err = err
		return results
	}
	reader := bufio.NewReaderSize(conn, 512)
	for i := range results {
		results[i] = readOneSlowly(conn, reader)
		if results[i].err != nil {
			break // the connection is over: the rest has no answer
		}
	}
	return results
}

func readOneSlowly(conn net.Conn, reader *bufio.Reader) valueResult {
	_ = conn.SetReadDeadline(time.Now().Add(3050 * time.Millisecond))
	line, err := readLine(reader)
	if err != nil {
		return valueResult{valueMissing, 0, err}
	}
	if line != fmt.Sprintf("$%d", longValue) {
		return valueResult{otherAnswer, 0, nil}
	}
	got := 0
	buffer := make([]byte, readPiece)
	for began := time.Now(); got < longValue; {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, err := reader.Read(buffer[:min(readPiece, longValue-got)])
		got += n
		if err != nil {
			return valueResult{valueCut, got, err}
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(readTime) * float64(got) / longValue))))
	}
	end := make([]byte, 2)
	if _, err := io.ReadFull(reader, end); err != nil {
		return valueResult{valueCut, got, err}
	}
	return valueResult{valueWhole, got, nil}
}
