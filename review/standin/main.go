// Command standin holds the stand-ins and the checks of the review's cases. Each run.sh starts one case.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// longestRun is when a case that has not ended counts as one that could not run.
const longestRun = 110 * time.Second

// scene is what a case plays in.
type scene struct {
	*platform
	trouble bool // false with TROUBLE=0
}

var cases = map[string]func(*scene) (broken bool, err error){}

func main() {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *root, *record))
}

func run(name, root, record string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	p := &platform{root: root, folder: folder, rec: rec, limits: limits{1, 64, 512}}
	defer p.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	s := &scene{p, os.Getenv("TROUBLE") != "0"}
	go func() {
		broken, err := play(s)
		results <- result{broken, err}
	}()
	select {
	case <-signals:
		return notRun
	case <-time.After(longestRun):
		rec.summary("the case did not end within %v", longestRun)
		return notRun
	case r := <-results:
		switch {
		case r.err != nil:
			rec.summary("the case could not run: %v", r.err)
			return notRun
		case r.broken:
			rec.summary("RULE BROKEN")
			return ruleBroken
		}
		rec.summary("rule held")
		return ruleHeld
	}
}

// startWorld starts nodes, discovery and brokers.
func (s *scene) startWorld(brokers int, nodes []*storageNode, delays func(*storageNode) int) error {
	s.nodes = nodes
	for _, n := range nodes {
		if err := n.start(microseconds(delays(n))); err != nil {
			return err
		}
	}
	if err := s.startDiscovery(); err != nil {
		return err
	}
	return s.startBrokers(brokers)
}
