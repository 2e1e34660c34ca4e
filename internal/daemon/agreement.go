package daemon

import (
	"log/slog"
	"net"

	"junctionwharf/broker"
	"junctionwharf/internal/agreement"
	"junctionwharf/internal/config"
)

// agreementOf listens for other brokers of the agreed document.
func agreementOf(c *config.Config, clock *broker.Clock, loop *loopCalls, log *slog.Logger) (*agreement.Service, error) {
	a := c.Site.Agreement
	o := agreement.Options{Name: c.Name, Cluster: a.Cluster, ListenAddress: a.Listen, DataDir: a.Dir, LocalIP: net.ParseIP(c.LocalAddress), Timing: a.Timing(), LimitFloors: a.Limits, MaxChildren: a.MaxChildren, Seed: c.Seed,
		Now: clock.Now, Log: log}
	for _, m := range a.Members {
		o.Voters = append(o.Voters, agreement.Voter{Name: m.Name, Address: m.Address})
	}
	return agreement.New(o, c.Settings.Scheduler, func(e broker.Event) { loop.Post(e) }, func() { loop.Wake() })
}
