package resp

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"junctionwharf/broker"
)

// The names of the figures that nodes report about a volume's use and, in a load report, about their load. Some figures
// of the load report have two names. The figures are part of the platform's protocol. The scheduler receives them, but
// no rule of this version reads them.
const (
	figureUsed         = "used" // percent of the plan's rate served; RateUsed is 1 more
	figureCost         = "cost" // units of the volume served through other brokers
	figureInFlight     = "inflight"
	figureInFlightAlt  = "busy_reqs"
	figureQueue        = "queue"
	figureQueueAlt     = "pending"
	figureUtil         = "util"
	figureUtilAlt      = "cpu_share"
	figureServiceMS    = "latency_ms"
	figureServiceMSAlt = "svc_ms"
	figureServed       = "qps"
	figureServedAlt    = "served_ps"
	figureFailed       = "eps"
	figureFailedAlt    = "failed_ps"
)

// maxFigure limits figures before they are converted to an integer or a duration, so that large figures do not
// overflow.
const maxFigure = 1e9

// readFigures parses figures in the format used=37,cost=4 and stores them in result. It ignores any other text.
func readFigures(text []byte, result *broker.Result) {
	for len(text) > 0 {
		var figure []byte
		figure, text, _ = bytes.Cut(text, []byte{','})
		name, digits, ok := bytes.Cut(figure, []byte{'='})
		value, err := strconv.ParseFloat(string(digits), 64)
		if ok && err == nil && !math.IsNaN(value) && !math.IsInf(value, 0) {
			setFigure(result, string(name), value)
		}
	}
}

// setFigure stores a figure in its field of result. It ignores unknown names.
func setFigure(result *broker.Result, name string, value float64) {
	load := &result.Load
	switch name {
	case figureUsed:
		result.RateUsed = 1 + int(max(0, min(value, maxFigure))) // 0 means unknown
	case figureCost:
		result.ServedElsewhere = value
	case figureInFlight, figureInFlightAlt:
		load.InFlight = value
	case figureQueue, figureQueueAlt:
		load.Queued = value
	case figureUtil, figureUtilAlt:
		load.Utilization = value
	case figureServiceMS, figureServiceMSAlt:
		load.ServiceTime = time.Duration(min(value, maxFigure) * float64(time.Millisecond))
	case figureServed, figureServedAlt:
		load.ServedRate = value
	case figureFailed, figureFailedAlt:
		load.ErrorRate = value
	}
}
