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
	o := agreement.Options{Name: c.Name, Cluster: a.Cluster, Listen: a.Listen, Dir: a.Dir, Local: net.ParseIP(c.Local), Timing: a.Timing(), Limits: a.Limits, Feeds: a.Feeds, Seed: c.Seed,
		Now: clock.Now, Log: log}
	for _, m := range a.Members {
		o.Members = append(o.Members, agreement.Member{Name: m.Name, Address: m.Address})
	}
	return agreement.New(o, c.Settings.Logic, func(e broker.Event) { loop.Post(e) }, func() { loop.Wake() })
}
