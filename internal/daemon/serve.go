// Package daemon puts the parts of a broker together, and starts, renews, hands over and ends them.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/config"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/handover"
	"junctionwharf/internal/metricsexport"
	"junctionwharf/internal/pool"
	"junctionwharf/internal/resp"
	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

const (
	memoryPart    = 0.6      // of the memory limit for the Go runtime: the rest is for the program itself, sockets and what is late
	plentyPart    = 0.8      // of this limit, with memory to spare
	clientBytes   = 20 << 10 // a client's connection with a request: buffers, stacks, and what the core holds of it
	clientPart    = 0.5      // of Go's memory for these at the most: were live memory near its limit, collections would take the processor
	overflowPart  = 16       // a part of the sockets: connections that are rejected or on their way out at a time
	leastOverflow = 16
	crowdPerCore  = 64
	clientMemory  = 0.2 // of the limit for requests and answers that wait
	gcPercent     = 100 // the live heap is small: more would let it grow through the first hours of a small machine
	gcPlenty      = 400 // with memory to spare: a collection takes a part of the processor for as long as there are connections
	plentyMB      = 128
	spareSockets  = 40  // for all that is neither a client nor a node
	nodePart      = 4   // a quarter of the sockets goes to nodes
	idlePart      = 4   // beyond a quarter of the sockets idle clients end: they may hold a third, used or not
	nodeSockets   = 256 // and no more than this

	settle = 5 * time.Millisecond

	// After SIGTERM clients go on with the connections they have, and where each request comes on a new one, with new
	// ones; they have nowhere else to go. SIGKILL follows once the longest deadline (or longestWait) and killAfter have
	// passed, and the next start comes no sooner, however early this one ends.
	handoverTime = 450 * time.Millisecond
	longestWait  = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	wrapUp       = 400 * time.Millisecond // before SIGKILL: connections end
	crossing     = 100 * time.Millisecond // for requests that crossed the end of their connection
	lastAnswers  = 250 * time.Millisecond // before SIGKILL: what is still owed is answered
	reserve      = 100 * time.Millisecond // before SIGKILL: the program ends at the latest
	lastCheck    = 20 * time.Millisecond
)

// Serve runs the broker until ctx ends, and then until what it took is answered. On reload it loads the
// configuration again.
func Serve(ctx context.Context, c *config.Config, log *slog.Logger, reload <-chan os.Signal, load func() (*config.Config, error)) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	if c.Limits.MemoryMB >= plentyMB {
		debug.SetGCPercent(gcPlenty)
	} else {
		debug.SetGCPercent(gcPercent)
	}

	local := net.ParseIP(c.LocalAddress)
	size := sizesOf(c, 1)
	options := pool.Options{ConnectTimeout: c.Settings.ConnectTimeout.Duration(),
		IdleTimeout: c.Settings.ConnIdle.Duration(), ReuseDelay: settle, MaxConnections: size.nodes, LocalIP: local, Logger: log}
	nodes := pool.New(options)
	gate := c.Site.Admission.Controller(c.Settings.Scheduler, size.crowd)
	k, err := newControl(c, resp.NewTransport(nodes), gate, log)
	if err != nil {
		return err
	}
	defer k.close()
	s, loop := &service{control: k}, k.loop
	k.figures = func() []broker.Metric {
		return slices.Concat(loop.Metrics.Read(), s.members.Metrics(), s.agreed(), []broker.Metric{{Name: "clients", Value: uint64(clients(s.fronts))}})
	}
	s.pools = []*pool.Pool{nodes}
	s.front = resp.NewServer(loop, resp.NewRequestLimits(c.Settings.Scheduler, c.Settings.Shards), size.clients, size.maxIdle, size.requests, log)
	s.front.RejectOverLimit(size.overflow)
	s.fronts = []drainer{s.front}
	s.took(c.Settings.Scheduler)
	s.resize(1)
	if c.Site.SFTP.Listen != "" {
		options.Handshake = sftp.Handshake
		filePool := pool.New(options)
		s.files = sftp.NewServer(loop, sftp.NewTransport(filePool, c.Site.SFTP.NodePort), c.Site.SFTP.Plan(), c.Site.SFTP.Connections, log)
		s.fronts, s.pools = append(s.fronts, s.files), append(s.pools, filePool)
	}

	running, stop := context.WithCancel(context.Background())
	defer stop()
	if err := k.open(s.check, func() []broker.Metric {
		return []broker.Metric{{Name: "connections_turned_away", Value: s.front.Rejected(), Counter: true}}
	}); err != nil {
		return err
	}
	s.join()
	defer s.part()
	if err := k.run(running, s.known(), s.hear); err != nil {
		return err
	}
	go watchPressure(running, loop, c.Site.Admission.LagMS > 0)
	for _, p := range s.pools {
		go retire(running, p)
	}
	served := make(chan error, 2)
	met := handover.AddressInUse(c.Listen)
	ln, err := handover.Listen(c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listeners = append(s.listeners, ln)
	if s.files != nil {
		fileLn, err := handover.Listen(c.Site.SFTP.Listen)
		if err != nil {
			return fmt.Errorf("sftp.listen: %w", err)
		}
		s.listeners = append(s.listeners, fileLn)
		go func() { served <- s.files.Serve(fileLn) }()
		log.Info("serving", "what", "file commands", "address", c.Site.SFTP.Listen)
	}
	s.reporter.Retune(reportOf(c))
	go s.reporter.Run(running)
	if s.beside {
		go s.lookBeside(running, ctx, met)
	}
	go func() { served <- s.front.Serve(ln) }()
	go func() {
		for current := c; ; {
			select {
			case <-running.Done():
				return
			case <-reload:
				current = s.renew(current, load)
			}
		}
	}()
	s.taking.Store(true)
	log.Info("serving", "what", "clients", "address", c.Listen)

	select {
	case err := <-served:
		return fmt.Errorf("clients: %w", err)
	case <-ctx.Done():
	}
	s.finish()
	log.Info("stopped")
	return nil
}

// sizes is what a process may use.
type sizes struct {
	nodes, clients, maxIdle int // sockets
	overflow                int // of the sockets, beyond the clients'
	crowd                   int // requests open at once while the processor is the bound
	heap, requests          int // bytes
}

// sizesOf shares the limits out among so many processes of one broker.
func sizesOf(c *config.Config, processes int) sizes {
	sockets, memory := c.Limits.Sockets/processes, c.Limits.MemoryMB*(1<<20)/float64(processes)
	s := sizes{nodes: min(nodeSockets, sockets/nodePart), maxIdle: sockets / idlePart,
		heap: int(memoryPart * memory), requests: int(clientMemory * memory)}
	if c.Limits.MemoryMB >= plentyMB {
		s.heap = int(plentyPart * memory)
	}
	s.clients = sockets - spareSockets/processes - s.nodes
	bound := max(1, int(clientPart*float64(s.heap)/clientBytes))
	s.overflow = min(sockets/overflowPart, leastOverflow/processes+max(0, s.clients-bound))
	s.clients = min(s.clients, bound)
	s.crowd = crowdPerCore * max(1, int(math.Ceil(c.Limits.Cores)))
	if files := c.Site.SFTP; files.Listen != "" {
		s.clients -= files.Connections/processes + s.nodes
	}
	s.clients = max(1, s.clients)
	return s
}

// resize has the parts keep to the limits as one of so many processes.
func (s *service) resize(processes int) {
	size := sizesOf(s.config, processes)
	debug.SetMemoryLimit(int64(size.heap))
	for _, p := range s.pools {
		p.Resize(size.nodes)
	}
	s.front.Resize(size.clients, size.maxIdle, size.overflow)
	s.front.ResizeBudget(size.requests)
	if s.files != nil {
		s.files.Resize(s.config.Site.SFTP.Connections/processes, s.config.Site.SFTP.Connections, 0)
	}
}

func (s *service) check() error {
	if !s.taking.Load() {
		return errors.New("no clients are taken")
	}
	return nil
}

// service is a running broker.
type service struct {
	*control
	pools     []*pool.Pool
	front     *resp.Server
	files     *sftp.Server // nil if off
	fronts    []drainer
	listeners []net.Listener

	office  *handover.Coordinator   // nil if there can be no handover
	beside  bool                    // another process may serve beside this one, and would not be met
	handed  *discovery.EndpointList // the list that the old process handed over
	taking  atomic.Bool
	classes atomic.Pointer[[]scheduler.Class] // as they are now
	limited atomic.Bool                       // a plan has a limit
}

// renew loads the configuration and goes over to its discovery and settings; all else counts from the next start. It
// guards against a faulty file: the old configuration stands as a whole.
func (s *service) renew(old *config.Config, load func() (*config.Config, error)) *config.Config {
	c, err := load()
	if err == nil {
		err = old.CheckReloadKeys(c)
	}
	s.loop.Metrics.CountReload(err == nil)
	if err != nil {
		s.log.Error("reload turned down, the old configuration stands", "reason", err)
		s.reporter.Notify(collectd.Notice{Severity: collectd.Failure, Instance: "reload", Text: "reload turned down: " + err.Error()})
		return old
	}
	if keys := old.RestartOnlyChanges(c); len(keys) > 0 {
		s.log.Warn("reload: some keys wait for the next start", "keys", strings.Join(keys, ", "))
	}
	if c.Discovery != old.Discovery {
		s.watcher.SetAddress(c.Discovery)
	}
	s.follow(c)
	s.log.Info("reloaded", "discovery", c.Discovery)
	renewed := *old
	renewed.ApplyReload(c)
	return &renewed
}

// follow goes over to the settings of a configuration. The core comes first: what a front then takes by the new
// terms, the core knows.
func (s *service) follow(c *config.Config) {
	set := c.Settings
	set.Scheduler.Balancer = s.config.Site.Balancer.Options(s.config.Name) // as at the start
	if s.agreement != nil {
		s.agreement.SettingsChanged(set.Scheduler)
	} else {
		s.loop.Post(broker.SettingsChanged{Settings: set.Scheduler})
	}
	s.front.SetLimits(resp.NewRequestLimits(set.Scheduler, set.Shards))
	if s.files != nil && c.Site.SFTP.Listen != "" {
		s.files.SetMapping(c.Site.SFTP.Plan())
	}
	for _, p := range s.pools {
		p.SetTimeouts(set.ConnectTimeout.Duration(), set.ConnIdle.Duration())
	}
	if len(s.config.Site.Membership.Sources) > 0 && len(c.Site.Membership.Sources) > 0 {
		if err := s.members.ApplySettings(c.Site.Membership); err != nil { // guards against settings that nobody checked
			s.log.Error("sources unchanged", "reason", err)
		}
	}
	s.watcher.UpdateOptions(s.watch(c))
	s.reporter.Retune(reportOf(c))
	s.took(set.Scheduler)
}

// took notes what the life of the process depends on in the settings that are in force.
func (s *service) took(set scheduler.Settings) {
	s.classes.Store(&set.Classes)
	s.limited.Store(slices.ContainsFunc(set.Plans, func(p scheduler.Plan) bool { return p.Limit > 0 }))
}

// reportOf is what a configuration says of sinks of figures.
func reportOf(c *config.Config) metricsexport.Settings {
	return metricsexport.Settings{Registry: c.Site.Telemetry.Options(c.Settings.Scheduler), Graphite: c.Site.Graphite, Collectd: c.Site.Collectd}
}

// timetable is what happens when after SIGTERM.
type timetable struct{ drain, shut, answer, end time.Duration }

// timesOf guards the clients of a planned restart: each is served for as long as its answer can still come.
func timesOf(classes []scheduler.Class) timetable {
	kill := time.Duration(0)
	for _, class := range classes {
		kill = max(kill, class.Deadline)
	}
	kill = min(kill, longestWait) + killAfter
	t := timetable{drain: max(handoverTime, kill-wrapUp), answer: kill - lastAnswers, end: kill - reserve}
	t.shut = t.drain + crossing
	return t
}

// finish hands clients over after SIGTERM and waits for the answers that are owed. With a successor there, clients have
// somewhere to go at once: new connections are led to it, and the old ones end as soon as they wait for nothing.
func (s *service) finish() {
	t, began := timesOf(*s.classes.Load()), time.Now()
	left := func() bool { return s.loop.OpenRequests() > 0 || clients(s.fronts) > 0 }
	if s.office != nil && s.office.HasSuccessor() {
		s.log.Info("stopping", "successor", true)
		s.leadAway()
		s.drain()
		for left() && time.Since(began) < t.shut {
			time.Sleep(lastCheck)
		}
	} else {
		s.log.Info("stopping", "successor", false)
		time.Sleep(t.drain)
		s.drain()
		time.Sleep(t.shut - time.Since(began))
	}
	s.taking.Store(false)
	for _, front := range s.fronts {
		front.Close()
	}
	for told := false; left() && time.Since(began) < t.end; time.Sleep(lastCheck) {
		if !told && time.Since(began) >= t.answer {
			told = true
			s.loop.Post(broker.ShuttingDown{})
		}
	}
	s.reporter.Finish(began.Add(max(t.end, time.Since(began)+lastCheck))) // no client waits any more
}

func (s *service) drain() {
	for _, front := range s.fronts {
		front.Drain()
	}
}

// drainer is a front that can hand its clients over.
type drainer interface {
	Drain()
	StopAccepting()
	Close()
	Count() int
}

func clients(fronts []drainer) int {
	sum := 0
	for _, front := range fronts {
		sum += front.Count()
	}
	return sum
}

// loopCalls stands for the loop before there is one: the reporter hears its facts, and asks it for cuts.
type loopCalls struct{ *broker.Loop }

func retire(ctx context.Context, nodes *pool.Pool) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			nodes.CloseExpired(now)
		}
	}
}
