package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/agreement"
)

// maxPrintedChanges is the maximum number of changes per version that the history shows.
const maxPrintedChanges = 4

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// printAgree prints an answer in readable form: as a table, or as indented JSON.
func printAgree(w io.Writer, call string, answer []byte) error {
	switch call {
	case historyCall:
		return printHistory(w, answer)
	case diffCall:
		return printDiff(w, answer)
	case statusCall, membersCall:
		return printStatus(w, answer)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, answer, "", "  "); err != nil {
		return err
	}
	_, err := indented.WriteTo(w)
	return err
}

// printTable prints rows whose cells are separated by tabs.
func printTable(w io.Writer, rows []string) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}

func printHistory(w io.Writer, answer []byte) error {
	var entries []clusterconfig.Entry
	if err := json.Unmarshal(answer, &entries); err != nil {
		return err
	}
	rows := []string{"VERSION\tAUTHOR\tREASON\tCHANGES\tHASH"}
	for _, entry := range entries {
		row := fmt.Sprintf("%d\t%s\t%s\t%s\t%.12s",
			entry.Version, entry.Proposal.Author, entry.Proposal.Reason, summarize(entry.Proposal.Changes), entry.Hash)
		rows = append(rows, row)
	}
	return printTable(w, rows)
}

// summarize formats the first changes of a version.
func summarize(changes []clusterconfig.Change) string {
	var words []string
	for _, c := range changes {
		words = append(words, c.Key+"="+c.Value)
		if len(words) == maxPrintedChanges {
			words = append(words, fmt.Sprintf("and %d more", len(changes)-maxPrintedChanges))
			break
		}
	}
	return strings.Join(words, " ")
}

func printDiff(w io.Writer, answer []byte) error {
	var differences []agreement.Difference
	if err := json.Unmarshal(answer, &differences); err != nil {
		return err
	}
	rows := []string{"KEY\tTHEN\tNOW"}
	for _, difference := range differences {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", difference.Key, difference.Old, difference.New))
	}
	return printTable(w, rows)
}

func printStatus(w io.Writer, answer []byte) error {
	var s agreement.Status
	if err := json.Unmarshal(answer, &s); err != nil {
		return err
	}
	versionRow := fmt.Sprintf("version\t%d", s.Version)
	if s.PendingVersion > 0 {
		versionRow += fmt.Sprintf(", %d is under way", s.PendingVersion)
	}
	leaseRow := fmt.Sprintf("lease left\t%.2f s", float64(s.LeaseLeftMS)/1000)
	if s.Restricted {
		leaseRow = fmt.Sprintf("restricted\tsince %.1f s", float64(s.RestrictedMS)/1000)
	}
	rows := []string{fmt.Sprintf("name\t%s, %s", s.Name, s.Role), versionRow, leaseRow}
	for _, optional := range []struct {
		name  string
		isSet bool
		value any
	}{
		{"hears by", s.Parent != "", strings.Join(s.Path, " > ")},
		{"feeds", len(s.Children) > 0, strings.Join(s.Children, " ")},
		{"leader", s.Leader != "", fmt.Sprintf("%s, term %d", s.Leader, s.Term)},
		{"voters", len(s.Voters) > 0, s.Voters},
		{"fault", s.Fault != "", s.Fault},
		{"waits for", len(s.WaitingFor) > 0, s.WaitingFor},
		{"behind", len(s.Lagging) > 0, s.Lagging},
	} {
		if optional.isSet {
			rows = append(rows, fmt.Sprintf("%s\t%v", optional.name, optional.value))
		}
	}
	return printTable(w, rows)
}
