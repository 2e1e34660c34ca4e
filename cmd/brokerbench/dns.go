package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fakes"
)

func dnsCommand() *cli.Command {
	return &cli.Command{
		Name:  "dns",
		Usage: "serve SRV records from a script, for manual tests",
		Description: "A script is read from standard input, a line at a time:\n" +
			"  set SERVICE TTL [TARGET,PORT,PRIORITY,WEIGHT,ADDRESS,TEXT ...]   " +
			"list these records (TEXT may be empty)\n" +
			"  play honest|silent|late|servfail|refused|nxdomain|nodata|" +
			"truncated|torn|wrongid|spoofed|rubbish|loop|third\n" +
			"  alias NAME OF\n  wait SECONDS",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:5353", Usage: "serve at `ADDR`, UDP and TCP"},
		},
		Action: serveDNS,
	}
}

func serveDNS(ctx context.Context, cmd *cli.Command) error {
	server, err := fakes.NewDNS(cmd.String("address"))
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintln(os.Stderr, "serving at", server.Address())
	if err := runDNSScript(ctx, server, os.Stdin); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Fprintln(os.Stderr, server.Queries(), "questions")
	return nil
}

// dnsFaults maps the arguments of the script command play to faults.
var dnsFaults = map[string]fakes.DNSFault{
	"honest":    fakes.NoDNSFault,
	"silent":    fakes.NoAnswer,
	"late":      fakes.LateAnswer,
	"servfail":  fakes.ServFail,
	"refused":   fakes.Refused,
	"nxdomain":  fakes.NameError,
	"nodata":    fakes.NoData,
	"truncated": fakes.Truncated,
	"torn":      fakes.TruncatedNoTCP,
	"wrongid":   fakes.WrongID,
	"spoofed":   fakes.Spoofed,
	"rubbish":   fakes.Malformed,
	"loop":      fakes.CNAMELoop,
	"third":     fakes.EveryThird,
}

// runDNSScript executes a script line by line. An error names the line.
func runDNSScript(ctx context.Context, server *fakes.DNS, script io.Reader) error {
	lines := bufio.NewScanner(script)
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		if err := runDNSCommand(ctx, server, words); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
	return lines.Err()
}

func runDNSCommand(ctx context.Context, server *fakes.DNS, words []string) error {
	switch {
	case words[0] == "set" && len(words) >= 3:
		return setRecords(server, words[1], words[2], words[3:])
	case words[0] == "play" && len(words) == 2:
		fault, known := dnsFaults[words[1]]
		if !known {
			return fmt.Errorf("%q is not a known fault", words[1])
		}
		server.SetFault(fault)
		return nil
	case words[0] == "alias" && len(words) == 3:
		server.SetCNAME(words[1], words[2])
		return nil
	case words[0] == "wait" && len(words) == 2:
		seconds, err := strconv.ParseFloat(words[1], 64)
		if err != nil || !(seconds >= 0) {
			return fmt.Errorf("%q is not a number of seconds, 0 or above", words[1])
		}
		_ = sleep(ctx, time.Duration(seconds*float64(time.Second))) // when ctx ends, the command ends without an error
		return nil
	}
	return fmt.Errorf("%q is not a valid command", strings.Join(words, " "))
}

// setRecords replaces the records of a service.
func setRecords(server *fakes.DNS, service, lifetime string, records []string) error {
	ttl, err := strconv.ParseUint(lifetime, 10, 32)
	if err != nil {
		return fmt.Errorf("%q is not a TTL in seconds", lifetime)
	}
	var names []fakes.SRVRecord
	for _, record := range records {
		name, err := parseRecord(record)
		if err != nil {
			return err
		}
		names = append(names, name)
	}
	server.Set(service, uint32(ttl), names...)
	return nil
}

// parseRecord parses TARGET,PORT,PRIORITY,WEIGHT,ADDRESS[,TEXT]. A plus sign in TEXT stands for a space.
func parseRecord(record string) (fakes.SRVRecord, error) {
	parts := strings.SplitN(record, ",", 6)
	if len(parts) < 5 {
		return fakes.SRVRecord{}, fmt.Errorf("%q is not TARGET,PORT,PRIORITY,WEIGHT,ADDRESS[,TEXT]", record)
	}
	var numbers [3]uint16
	for i := range numbers {
		number, err := strconv.ParseUint(parts[1+i], 10, 16)
		if err != nil {
			return fakes.SRVRecord{}, fmt.Errorf("%q: %q is not a number from 0 to 65535", record, parts[1+i])
		}
		numbers[i] = uint16(number)
	}
	name := fakes.SRVRecord{
		Target:    parts[0],
		Port:      numbers[0],
		Priority:  numbers[1],
		Weight:    numbers[2],
		Addresses: parts[4:5],
	}
	if len(parts) == 6 {
		name.Text = strings.ReplaceAll(parts[5], "+", " ")
	}
	return name, nil
}
