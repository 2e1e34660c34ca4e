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

// The markers that enclose the generated section of the page.
const (
	SectionBegin = "<!-- made by brokerbench capacity page: begin -->\n"
	SectionEnd   = "<!-- made by brokerbench capacity page: end -->\n"
)

// Errors of Render and Replace.
var (
	ErrNoPlannedRun = errors.New("no run at the planned fleet size")
	ErrNoMarks      = errors.New("page lacks the begin or end marker of the generated section")
)

//go:embed page.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("page").Parse(pageTemplateText))

// pageData is the input of the page template.
type pageData struct {
	Rows        []roleRow
	Cells       []string // table rows, one per cell that was run
	Missing     []string // names of cells without a run
	HollowError string   // by how much the cost of hollow brokers differs from the cost of full ones
	Connections []ConnectionCost
}

// Render returns the generated section of the page. It returns ErrNoPlannedRun if there is no run at the planned fleet
// size.
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

// hollowBytesError compares the agreement bytes of full and hollow leaves in the planned runs. It returns "" if the
// runs lack either kind.
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

// hollowCPUBrokers is the fleet size of the run without requests. Only without requests is the processor time of full
// and hollow brokers comparable.
const hollowCPUBrokers = 240

// hollowCPUError compares the processor time of full and hollow leaves in the run without requests. It returns "" if
// the run is missing or lacks either kind.
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

// Replace returns the page with the text between its markers replaced by section. It returns ErrNoMarks if a marker is
// missing.
func Replace(page, section string) (string, error) {
	before, rest, beginFound := strings.Cut(page, SectionBegin)
	_, after, endFound := strings.Cut(rest, SectionEnd)
	if !beginFound || !endFound {
		return "", ErrNoMarks
	}
	return before + SectionBegin + "\n" + section + "\n" + SectionEnd + after, nil
}
