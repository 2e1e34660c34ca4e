package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/agreement"
)

// Names of flags.
const (
	jsonFlag     = "json"
	authorFlag   = "author"
	reasonFlag   = "reason"
	expectedFlag = "expected"
)

var (
	errNoChange  = errors.New("no change given: expected KEY=VALUE arguments")
	errNoVersion = errors.New("expected one argument, VERSION")
)

// agreeUsage is the help text of the agree command.
const agreeUsage = "show and change the configuration that the brokers agreed on, over a running broker's console; " +
	"exits with 3 if another version is active, 4 if a proposal is invalid, 5 if no leader answers, " +
	"6 if the outcome of a change is unknown"

func agreeCommand() *cli.Command {
	changeFlags := []cli.Flag{
		&cli.StringFlag{Name: authorFlag, Required: true, Usage: "author of the change"},
		&cli.StringFlag{Name: reasonFlag, Required: true, Usage: "reason for the change"},
	}
	proposeFlags := append(changeFlags[:len(changeFlags):len(changeFlags)], &cli.UintFlag{
		Name:  expectedFlag,
		Usage: "the `VERSION` that the change is based on; default: the version that this broker knows",
	})
	return &cli.Command{
		Name:  "agree",
		Usage: agreeUsage,
		Commands: []*cli.Command{
			agreeSubcommand(&cli.Command{
				Name:   statusCall,
				Usage:  "print the version, role and lease of this broker",
				Action: showAnswer(statusCall),
			}),
			agreeSubcommand(&cli.Command{
				Name:   membersCall,
				Usage:  "print the leader's status: the voters, and the brokers that it waits for or that are behind",
				Action: showAnswer(membersCall),
			}),
			agreeSubcommand(&cli.Command{
				Name:      historyCall,
				ArgsUsage: "[N]",
				Usage:     "print the latest versions with author and reason",
				Action:    showAnswer(historyCall),
			}),
			agreeSubcommand(&cli.Command{
				Name:      diffCall,
				ArgsUsage: "VERSION",
				Usage:     "print the changes since a version",
				Action:    showAnswer(diffCall),
			}),
			agreeSubcommand(&cli.Command{
				Name:   exportCall,
				Usage:  "print the document that is active, as known to this broker",
				Action: showAnswer(exportCall),
			}),
			agreeSubcommand(&cli.Command{
				Name:      proposeCall,
				ArgsUsage: "KEY=VALUE ...",
				Usage:     "propose all given changes as one version; an empty value removes a key",
				Action:    propose,
				Flags:     proposeFlags,
			}),
			agreeSubcommand(&cli.Command{
				Name:      rollbackCall,
				ArgsUsage: "VERSION",
				Usage:     "propose the values of an earlier version as a new version",
				Action:    rollback,
				Flags:     changeFlags,
			}),
		},
	}
}

// agreeSubcommand adds the flags that all agree subcommands have.
func agreeSubcommand(cmd *cli.Command) *cli.Command {
	common := []cli.Flag{&cli.BoolFlag{Name: jsonFlag, Usage: "print the broker's answer as JSON"}}
	common = append(common, configFlags...)
	cmd.Flags = append(common, cmd.Flags...)
	return cmd
}

// showAnswer returns an action that makes a call with the command's arguments and prints the answer.
func showAnswer(call string) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		arguments := strings.Join(cmd.Args().Slice(), " ")
		answer, err := callAgree(cmd, strings.TrimSpace(call+" "+arguments))
		if err != nil {
			return err
		}
		if cmd.Bool(jsonFlag) {
			_, err := os.Stdout.Write(answer)
			return err
		}
		return printAgree(os.Stdout, call, answer)
	}
}

func propose(_ context.Context, cmd *cli.Command) error {
	changes, err := parseChanges(cmd.Args().Slice())
	if err != nil {
		return err
	}
	expected, err := expectedVersion(cmd)
	if err != nil {
		return err
	}
	text, err := json.Marshal(clusterconfig.Proposal{
		Expected: expected,
		Author:   cmd.String(authorFlag),
		Reason:   cmd.String(reasonFlag),
		Changes:  changes,
	})
	if err != nil {
		return err
	}
	return makeChange(cmd, proposeCall+" "+string(text))
}

// parseChanges parses KEY=VALUE arguments.
func parseChanges(arguments []string) ([]clusterconfig.Change, error) {
	if len(arguments) == 0 {
		return nil, errNoChange
	}
	var changes []clusterconfig.Change
	for _, argument := range arguments {
		key, value, found := strings.Cut(argument, "=")
		if !found {
			return nil, fmt.Errorf("argument %q is not of the form KEY=VALUE", argument)
		}
		changes = append(changes, clusterconfig.Change{Key: key, Value: value})
	}
	return changes, nil
}

// expectedVersion returns the version that a proposal is based on: the flag's, or by default the one the broker knows.
func expectedVersion(cmd *cli.Command) (uint64, error) {
	if cmd.IsSet(expectedFlag) {
		return uint64(cmd.Uint(expectedFlag)), nil
	}
	answer, err := callAgree(cmd, statusCall)
	if err != nil {
		return 0, err
	}
	var status agreement.Status
	if err := json.Unmarshal(answer, &status); err != nil {
		return 0, err
	}
	return status.Version, nil
}

func rollback(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errNoVersion
	}
	author := strings.ReplaceAll(cmd.String(authorFlag), " ", "_") // in a call the author ends at the first space
	call := fmt.Sprintf("%s %s %s %s", rollbackCall, cmd.Args().First(), author, cmd.String(reasonFlag))
	return makeChange(cmd, call)
}

// makeChange makes a call that changes the configuration and prints the resulting version.
func makeChange(cmd *cli.Command, call string) error {
	answer, err := callAgree(cmd, call)
	if err != nil {
		return err
	}
	if cmd.Bool(jsonFlag) {
		_, err := os.Stdout.Write(answer)
		return err
	}
	var entry clusterconfig.Entry
	if err := json.Unmarshal(answer, &entry); err != nil {
		return err
	}
	fmt.Printf("version %d is in force\n", entry.Version)
	return nil
}
