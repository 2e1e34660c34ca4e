package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/agreement"
	"junctionwharf/internal/console"
)

// The exit codes of agree; 1 is for everything else.
var agreeCodes = map[string]int{"expected": 3, "invalid": 4, "none": 5, "unknown": 6}

func agreeCommand() *cli.Command {
	jsonFlag := &cli.BoolFlag{Name: "json", Usage: "print what the broker answered, as JSON"}
	sub := func(name, args, usage string, action cli.ActionFunc, more ...cli.Flag) *cli.Command {
		return &cli.Command{Name: name, ArgsUsage: args, Usage: usage, Action: action, Flags: append([]cli.Flag{jsonFlag}, append(flags, more...)...)}
	}
	change := []cli.Flag{&cli.StringFlag{Name: "author", Required: true, Usage: "who wants it"}, &cli.StringFlag{Name: "reason", Required: true, Usage: "why"}}
	return &cli.Command{
		Name:  "agree",
		Usage: "see and change what the brokers have agreed on, over a running broker's console; exits with 3 if another version is in force, 4 if a proposal is faulty, 5 if no leader answers, 6 if the end of a change is not known",
		Commands: []*cli.Command{
			sub("status", "", "what this broker acts on, and its place among the others", showAgree("status")),
			sub("members", "", "the leader's status: voters, and the brokers that it waits for or that are behind", showAgree("members")),
			sub("history", "[N]", "the latest versions, with author and reason", showAgree("history")),
			sub("diff", "VERSION", "what has changed since a version", showAgree("diff")),
			sub("export", "", "the document that this broker knows to be in force", showAgree("export")),
			sub("propose", "KEY=VALUE ...", "propose a change whole; an empty value takes a key away", proposeAgree,
				append(change, &cli.UintFlag{Name: "expected", Usage: "the `VERSION` on which it builds; without it the one that this broker knows"})...),
			sub("rollback", "VERSION", "propose the values of an earlier version", rollbackAgree, change...),
		},
	}
}

// callAgree asks the console and returns its answer; a refusal is an error with its exit code.
func callAgree(cmd *cli.Command, call string) ([]byte, error) {
	c, err := load(cmd)
	if err != nil {
		return nil, err
	}
	if c.Console == "" {
		return nil, errors.New("console: no address in the configuration")
	}
	text, err := console.Call(c.Console, "agree "+call, console.AgreementTimeout+time.Second)
	if err != nil {
		return nil, err
	}
	text, whole := bytes.CutSuffix(text, []byte("EOT\n"))
	if !whole {
		return nil, fmt.Errorf("console: %s", strings.TrimSpace(string(text)))
	}
	var refusal struct {
		Error string `json:"error"`
		Kind  string `json:"kind"`
	}
	if json.Unmarshal(text, &refusal) == nil && refusal.Error != "" {
		if cmd.Bool("json") {
			os.Stdout.Write(text)
		}
		code := agreeCodes[refusal.Kind]
		if code == 0 {
			code = 1
		}
		return nil, cli.Exit("junctionwharf: "+refusal.Error, code)
	}
	return text, nil
}

func showAgree(call string) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		text, err := callAgree(cmd, strings.TrimSpace(call+" "+strings.Join(cmd.Args().Slice(), " ")))
		if err != nil {
			return err
		}
		if cmd.Bool("json") {
			_, err := os.Stdout.Write(text)
			return err
		}
		return printAgree(os.Stdout, call, text)
	}
}

// printAgree words an answer for people.
func printAgree(w io.Writer, call string, text []byte) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	switch call {
	case "history":
		var entries []struct {
			Version  uint64 `json:"version"`
			Hash     string `json:"hash"`
			Proposal struct {
				Author  string `json:"author"`
				Reason  string `json:"reason"`
				Changes []struct {
					Key   string `json:"key"`
					Value string `json:"value"`
				} `json:"changes"`
			} `json:"proposal"`
		}
		if err := json.Unmarshal(text, &entries); err != nil {
			return err
		}
		fmt.Fprintln(table, "VERSION\tAUTHOR\tREASON\tCHANGES\tHASH")
		for _, e := range entries {
			var changes []string
			for _, c := range e.Proposal.Changes {
				if changes = append(changes, c.Key+"="+c.Value); len(changes) == 4 {
					changes = append(changes, fmt.Sprintf("and %d more", len(e.Proposal.Changes)-4))
					break
				}
			}
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.12s\n", e.Version, e.Proposal.Author, e.Proposal.Reason, strings.Join(changes, " "), e.Hash)
		}
	case "diff":
		var changes []agreement.Difference
		if err := json.Unmarshal(text, &changes); err != nil {
			return err
		}
		fmt.Fprintln(table, "KEY\tTHEN\tNOW")
		for _, c := range changes {
			fmt.Fprintf(table, "%s\t%s\t%s\n", c.Key, c.Old, c.New)
		}
	case "status", "members":
		var s agreement.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
		fmt.Fprintf(table, "name\t%s, %s\nversion\t%d", s.Name, s.Role, s.Version)
		if s.PendingVersion > 0 {
			fmt.Fprintf(table, ", %d is under way", s.PendingVersion)
		}
		fmt.Fprintln(table)
		if s.Restricted {
			fmt.Fprintf(table, "restricted\tsince %.1f s\n", float64(s.RestrictedMS)/1000)
		} else {
			fmt.Fprintf(table, "lease left\t%.2f s\n", float64(s.LeaseLeftMS)/1000)
		}
		for _, line := range []struct {
			key string
			is  bool
			val any
		}{{"hears by", s.Parent != "", strings.Join(s.Path, " > ")}, {"feeds", len(s.Children) > 0, strings.Join(s.Children, " ")}, {"leader", s.Leader != "", fmt.Sprintf("%s, term %d", s.Leader, s.Term)},
			{"voters", len(s.Voters) > 0, s.Voters}, {"fault", s.Fault != "", s.Fault}, {"waits for", len(s.WaitingFor) > 0, s.WaitingFor}, {"behind", len(s.Lagging) > 0, s.Lagging}} {
			if line.is {
				fmt.Fprintf(table, "%s\t%v\n", line.key, line.val)
			}
		}
	default:
		var whole bytes.Buffer
		if err := json.Indent(&whole, text, "", "  "); err != nil {
			return err
		}
		_, err := whole.WriteTo(w)
		return err
	}
	return table.Flush()
}

func proposeAgree(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errors.New("no KEY=VALUE")
	}
	type change struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	}
	proposal := struct {
		Expected uint64   `json:"expected"`
		Author   string   `json:"author"`
		Reason   string   `json:"reason"`
		Changes  []change `json:"changes"`
	}{Expected: uint64(cmd.Uint("expected")), Author: cmd.String("author"), Reason: cmd.String("reason")}
	for _, arg := range cmd.Args().Slice() {
		key, value, found := strings.Cut(arg, "=")
		if !found {
			return fmt.Errorf("%q is no KEY=VALUE", arg)
		}
		proposal.Changes = append(proposal.Changes, change{key, value})
	}
	if !cmd.IsSet("expected") {
		text, err := callAgree(cmd, "status")
		if err != nil {
			return err
		}
		var s agreement.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
		proposal.Expected = s.Version
	}
	text, err := json.Marshal(proposal)
	if err != nil {
		return err
	}
	return changeAgree(cmd, "propose "+string(text))
}

func rollbackAgree(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("one VERSION is wanted")
	}
	return changeAgree(cmd, fmt.Sprintf("rollback %s %s %s", cmd.Args().First(), strings.ReplaceAll(cmd.String("author"), " ", "_"), cmd.String("reason")))
}

func changeAgree(cmd *cli.Command, call string) error {
	text, err := callAgree(cmd, call)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		_, err := os.Stdout.Write(text)
		return err
	}
	var entry struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(text, &entry); err != nil {
		return err
	}
	fmt.Printf("version %d is in force\n", entry.Version)
	return nil
}
