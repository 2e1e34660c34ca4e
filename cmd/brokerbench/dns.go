package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/members"
	"junctionwharf/scheduler"
)

func dnsCommand() *cli.Command {
	return &cli.Command{
		Name:  "dns",
		Usage: "serve SRV records from a script, for trying things by hand",
		Description: "A script is read from standard input, a line at a time:\n" +
			"  set SERVICE TTL [TARGET,PORT,PRIORITY,WEIGHT,ADDRESS,TEXT ...]   list these records (TEXT may be empty)\n" +
			"  play honest|silent|late|servfail|refused|nxdomain|nodata|truncated|torn|wrongid|spoofed|rubbish|loop|third\n" +
			"  alias NAME OF\n  wait SECONDS",
		Flags: []cli.Flag{&cli.StringFlag{Name: "address", Value: "127.0.0.1:5353", Usage: "serve at `ADDR`, UDP and TCP"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			d, err := fakes.NewDNS(cmd.String("address"))
			if err != nil {
				return err
			}
			defer d.Close()
			fmt.Fprintln(os.Stderr, "serving at", d.Address())
			if err := playScript(ctx, d, os.Stdin); err != nil {
				return err
			}
			<-ctx.Done()
			fmt.Fprintln(os.Stderr, d.Queries(), "questions")
			return nil
		},
	}
}

var tricks = map[string]fakes.DNSFault{"honest": fakes.NoDNSFault, "silent": fakes.NoAnswer, "late": fakes.LateAnswer, "servfail": fakes.ServFail, "refused": fakes.Refused,
	"nxdomain": fakes.NameError, "nodata": fakes.NoData, "truncated": fakes.Truncated, "torn": fakes.TruncatedNoTCP, "wrongid": fakes.WrongID,
	"spoofed": fakes.Spoofed, "rubbish": fakes.Malformed, "loop": fakes.CNAMELoop, "third": fakes.EveryThird}

// playScript carries out a script's lines; an error names the line.
func playScript(ctx context.Context, d *fakes.DNS, script io.Reader) error {
	lines := bufio.NewScanner(script)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		if err := playLine(ctx, d, words); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	return lines.Err()
}

func playLine(ctx context.Context, d *fakes.DNS, words []string) error {
	switch {
	case words[0] == "set" && len(words) >= 3:
		ttl, err := strconv.ParseUint(words[2], 10, 32)
		if err != nil {
			return fmt.Errorf("%q is no lifetime", words[2])
		}
		var all []fakes.SRVRecord
		for _, word := range words[3:] {
			parts := strings.SplitN(word, ",", 6)
			if len(parts) < 5 {
				return fmt.Errorf("%q is no record", word)
			}
			var numbers [3]uint64
			for i := range numbers {
				if numbers[i], err = strconv.ParseUint(parts[1+i], 10, 16); err != nil {
					return fmt.Errorf("%q: %q is no number", word, parts[1+i])
				}
			}
			name := fakes.SRVRecord{Target: parts[0], Port: uint16(numbers[0]), Priority: uint16(numbers[1]), Weight: uint16(numbers[2]), Addresses: parts[4:5]}
			if len(parts) == 6 {
				name.Text = strings.ReplaceAll(parts[5], "+", " ")
			}
			all = append(all, name)
		}
		d.Set(words[1], uint32(ttl), all...)
	case words[0] == "play" && len(words) == 2:
		trick, known := tricks[words[1]]
		if !known {
			return fmt.Errorf("%q is no trick", words[1])
		}
		d.SetFault(trick)
	case words[0] == "alias" && len(words) == 3:
		d.SetCNAME(words[1], words[2])
	case words[0] == "wait" && len(words) == 2:
		seconds, err := strconv.ParseFloat(words[1], 64)
		if err != nil || !(seconds >= 0) {
			return fmt.Errorf("%q is no time", words[1])
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		}
	default:
		return fmt.Errorf("%q is no command", strings.Join(words, " "))
	}
	return nil
}

func drainsCommand() *cli.Command {
	return &cli.Command{
		Name:  "drains",
		Usage: "measure how long it takes from a node's removal from DNS until the core is told",
		Flags: []cli.Flag{&cli.IntFlag{Name: "removals", Value: 1000}, &cli.IntFlag{Name: "nodes", Value: 200}, &cli.UintFlag{Name: "ttl", Value: 1, Usage: "of the records, s"},
			&cli.UintFlag{Name: "seed", Value: 1}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Int("nodes") < 10 || cmd.Int("nodes") > 250 || cmd.Int("removals") < 1 {
				return errors.New("nodes must lie within 10 and 250, removals above 0")
			}
			return measureDrains(ctx, cmd.Int("removals"), cmd.Int("nodes"), uint32(cmd.Uint("ttl")), uint64(cmd.Uint("seed")))
		},
	}
}

// measureDrains replaces one node at a time, at random times, and waits until the core is told that it is gone.
func measureDrains(ctx context.Context, removals, nodes int, ttl uint32, seed uint64) error {
	const service = "_resp._tcp.storage.example.org"
	d, err := fakes.NewDNS("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer d.Close()
	random := rand.New(rand.NewPCG(seed, 0xd))
	number := 0
	fresh := func() fakes.SRVRecord {
		number++
		return fakes.SRVRecord{Target: fmt.Sprintf("s%d.example.org", number), Port: 6379, Addresses: []string{fmt.Sprintf("127.%d.%d.%d", 1+number>>16, number>>8&255, number&255)}}
	}
	var zone []fakes.SRVRecord
	for range nodes {
		zone = append(zone, fresh())
	}
	d.Set(service, ttl, zone...)
	var mu sync.Mutex
	removed, took := map[string]time.Time{}, []time.Duration(nil)
	listed := make(chan struct{}, 1)
	m := members.New(broker.NewClock(), func(e broker.Event) {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range e.(broker.NodesListed).Nodes {
			if at, waits := removed[n.Name]; waits && n.State == scheduler.Removed {
				took = append(took, time.Since(at))
				delete(removed, n.Name)
			}
		}
		select {
		case listed <- struct{}{}:
		default:
		}
	}, logging.Discard())
	defer m.Close()
	shard := 0
	if err := m.ApplySettings(config.Membership{Sources: []config.EndpointSource{{Name: "dns", Kind: "dns", SRV: service, Resolvers: []string{d.Address()}, Shard: &shard, QueriesPerS: 1000}}}); err != nil {
		return err
	}
	<-listed
	for range removals {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(random.Int64N(int64(40 * time.Millisecond)))):
		}
		i := random.IntN(len(zone))
		mu.Lock()
		removed[zone[i].Target] = time.Now()
		zone[i] = fresh()
		d.Set(service, ttl, zone...)
		mu.Unlock()
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		left := len(removed)
		mu.Unlock()
		if left == 0 {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(took)
	if len(took) == 0 {
		return errors.New("no removal was told")
	}
	at := func(p float64) time.Duration {
		return took[min(len(took)-1, int(p*float64(len(took))))].Round(time.Millisecond)
	}
	_, err = fmt.Printf("%d of %d removals told, of %d nodes with a lifetime of %d s: p50 %v, p99 %v, largest %v after the zone changed\n",
		len(took), removals, nodes, ttl, at(0.5), at(0.99), took[len(took)-1].Round(time.Millisecond))
	return err
}
