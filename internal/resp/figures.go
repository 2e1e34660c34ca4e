package resp

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"junctionwharf/broker"
)

// The figures of nodes: those on use, and those of a load report, some of which have two names. They are part of the
// platform's protocol and reach the scheduler, but no rule of this version reads them.
const (
	figureUsed         = "used" // the volume's use in percent of its plan's rate, less 1
	figureCost         = "cost" // what other brokers have had served
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

// maxFigure bounds a figure that becomes an integer or a time, so that it cannot overflow.
const maxFigure = 1e9

// readFigures reads figures of the form used=37,cost=4. What is no such figure is passed over.
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

// setFigure maps a figure to its field.
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
