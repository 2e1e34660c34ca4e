package capacity

import (
	_ "embed" // the template
	"errors"
	"fmt"
	"strings"
	"text/template"

	"gonum.org/v1/gonum/stat"

	"junctionwharf/internal/fleetharness"
)

// The marks between which the section stands on the page.
const (
	SectionBegin = "<!-- made by brokerbench capacity page: begin -->\n"
	SectionEnd   = "<!-- made by brokerbench capacity page: end -->\n"
)

// The faults of a page and of its runs.
var (
	ErrNoPlannedRun = errors.New("there is no run of it")
	ErrNoMarks      = errors.New("the page lacks the marks of the section")
)

//go:embed page.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("page").Parse(pageTemplateText))

// pageData is what the template gets.
type pageData struct {
	Rows        []roleRow
	Cells       []string // the rows of all cells
	Missing     []string // the names of cells without a run
	HollowError string   // how well hollow brokers stand for full ones
	Connections []ConnectionCost
}

// Render returns the section of the page. It needs a run at the planned size.
func Render(runs Runs, missing []string, connections []ConnectionCost) (string, error) {
	planned := plannedRuns(runs, false)
	if len(planned) == 0 {
		return "", fmt.Errorf("%s: %w", standardCell(PlannedBrokers, plannedSeeds[0]).Name(), ErrNoPlannedRun)
	}
	data := pageData{
		Rows:        roleRows(runs),
		Cells:       cellRows(runs),
		Missing:     missing,
		HollowError: hollowBytesError(planned) + hollowCPUError(runs),
		Connections: connections,
	}
	var b strings.Builder
	if err := pageTemplate.Execute(&b, data); err != nil {
		return "", err
	}
	return b.String(), nil
}

func cellRows(runs Runs) (rows []string) {
	for _, c := range Grid {
		if r := runs[c.Name()]; r != nil {
			rows = append(rows, cellRow(c, r))
		}
	}
	return rows
}

// hollowBytesError compares the leaves of both kinds in the planned runs; it is empty where one kind is missing.
func hollowBytesError(planned []*fleetharness.Report) string {
	var full, hollow []float64
	for _, r := range planned {
		for _, c := range r.Costs {
			switch {
			case c.Role != roleLeaf:
			case c.Hollow:
				hollow = append(hollow, agreementBytes.value(c))
			default:
				full = append(full, agreementBytes.value(c))
			}
		}
	}
	if len(full) == 0 || len(hollow) == 0 {
		return ""
	}
	fullMean := stat.Mean(full, nil)
	hollowMean := stat.Mean(hollow, nil)
	const text = "Leaves of agreement at %d brokers: %.0f bytes a second for %d whole brokers, " +
		"%.0f for %d hollow ones, %+.1f%%."
	return fmt.Sprintf(text, PlannedBrokers, fullMean, len(full), hollowMean, len(hollow),
		percentMore(hollowMean, fullMean))
}

// hollowCPUBrokers is the size of the run without requests, where the processor time of both kinds is comparable.
const hollowCPUBrokers = 240

// hollowCPUError compares the processor time of leaves of both kinds without requests; it is empty without such a run.
func hollowCPUError(runs Runs) string {
	r := runs[standardCell(hollowCPUBrokers, 1).withVolumes(0).Name()]
	if r == nil {
		return ""
	}
	full := fullCPU.of(r, roleLeaf)
	hollow := hollowCPU.of(r, roleLeaf)
	if full.brokers == 0 || hollow.brokers == 0 {
		return ""
	}
	const text = " Processor time of leaves without requests, %d brokers: %.4f of a core for %d whole ones, " +
		"%.4f for %d hollow ones, %+.0f%%."
	return fmt.Sprintf(text, hollowCPUBrokers, full.mean, full.brokers, hollow.mean, hollow.brokers,
		percentMore(hollow.mean, full.mean))
}

func percentMore(value, reference float64) float64 { return 100 * (value/reference - 1) }

// Replace puts the section between the marks of a page.
func Replace(page, section string) (string, error) {
	before, rest, beginFound := strings.Cut(page, SectionBegin)
	_, after, endFound := strings.Cut(rest, SectionEnd)
	if !beginFound || !endFound {
		return "", ErrNoMarks
	}
	return before + SectionBegin + "\n" + section + "\n" + SectionEnd + after, nil
}
