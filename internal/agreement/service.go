// Package agreement has a broker take part in the agreed document: it holds a lease on what is in force and has the core act on it,
// relays for others, and votes where it is one of the few that do. The decisions are those of agree and of internal/consensus; here are the
// connections, the clock, and the tree over which hundreds of brokers hear of a leader that talks to a few.
//
// The tree: a broker that does not vote attaches to a voter, or, where that feeds enough, to one of those that it feeds. Renewals go up in
// batches, grants come down by the way their renewals came. Nothing here is trusted for the promise: a batch that is late, lost, or
// comes by another way only makes a lease end sooner.
package agreement

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/broker"
	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
	"junctionwharf/scheduler"
)

// Voter is a broker that votes.
type Voter struct {
	Name    string
	Address string
}

// Options is what a broker is told.
type Options struct {
	Name          string
	Cluster       string
	ListenAddress string // where others reach it; empty: it feeds nobody
	LocalIP       net.IP // the address from which it connects, nil for the system's choice
	Voters        []Voter
	DataDir       string // of a disk that lasts, for a voter's state; empty for none
	Timing        clusterconfig.Timing
	LimitFloors   map[string]float64 // floors of the plans whose limit is agreed on
	MaxChildren   int                // brokers that attach to this one at the most
	Seed          uint64
	Now           func() broker.Micros
	Log           *slog.Logger
}

// The times of the driver.
const (
	renewals   = 4                     // in a lease
	gather     = 15 * time.Millisecond // what goes up waits for others that long
	formEvery  = 100_000
	halfFormed = 5_000_000 // without a leader from the start on: whoever was to be one is gone
	swapEvery  = 200_000
	showEvery  = 200_000
	drainWait  = 200_000 // drawn, before a drain is proposed that all brokers hear of at once
	again      = 300_000
	routeSpan  = 10_000_000
	mostRoutes = 4096
	mostCalls  = 4096
	leastPause = 50 * time.Millisecond
	mostPause  = 2 * time.Second
	mostAsks   = 64
)

type route struct {
	link *link
	seen clusterconfig.Micros
}

// Service takes part.
type Service struct {
	o      Options
	terms  string
	rules  clusterconfig.Rules
	votes  bool
	ln     net.Listener
	calls  chan func()
	done   chan struct{}
	wake   func() // has the core turn
	post   func(broker.Event)
	counts counts
	seen   struct{ term, leads, behind, waits atomic.Uint64 } // for figures

	mu     sync.Mutex // of what the core's turn looks at
	holder *clusterconfig.Holder
	set    scheduler.Settings
	list   *list
	acts   sign
	turned clusterconfig.Micros // when it turned last
	since  clusterconfig.Micros // when it began to act on acts

	// What follows belongs to the run's own goroutine.
	random   *rand.Rand
	voter    *consensus.Voter
	storage  consensus.Storage // of the voter
	ids      map[uint64]string
	dialed   map[string]*link // to other voters
	voters   map[string]*link // from other voters
	children map[string]*link
	parent   *link
	routes   map[string]route
	batch    up
	flushAt  clusterconfig.Micros
	renewAt  clusterconfig.Micros
	formAt   clusterconfig.Micros
	swapAt   clusterconfig.Micros
	aloneAt  clusterconfig.Micros // since when there is no leader
	heardAt  clusterconfig.Micros // the last grant
	asked    map[uint64]func(reply)
	askNo    uint64
	wants    map[string]wanted // drains that discovery told this broker, and that are to be agreed on
	importAt clusterconfig.Micros
	showAt   clusterconfig.Micros
	fileDue  bool // the settings file is to be proposed
}

// wanted is a value of a drain, to be proposed from a time on.
type wanted struct {
	value string
	at    clusterconfig.Micros
}

// sign tells views apart.
type sign struct {
	epoch, version, preparing uint64
	restricted                bool
}

func (o Options) member(name string) bool {
	return slices.ContainsFunc(o.Voters, func(m Voter) bool { return m.Name == name })
}

// New returns a service that listens, and takes part once it runs.
func New(o Options, set scheduler.Settings, post func(broker.Event), wake func()) (*Service, error) {
	s := &Service{o: o, rules: rulesOf(o.LimitFloors), votes: o.member(o.Name), calls: make(chan func(), mostCalls),
		done: make(chan struct{}), wake: wake, post: post, set: set, list: newList(), random: rand.New(rand.NewPCG(o.Seed, uint64(time.Now().UnixNano()))),
		ids: map[uint64]string{}, dialed: map[string]*link{}, voters: map[string]*link{}, children: map[string]*link{}, routes: map[string]route{},
		asked: map[uint64]func(reply){}, wants: map[string]wanted{}}
	s.terms = fmt.Sprint(o.Timing, slices.Sorted(maps.Keys(o.LimitFloors)), o.LimitFloors, o.Voters)
	s.holder = clusterconfig.NewHolder(o.Name, s.random.Uint64(), o.Timing, s.rules)
	s.askNo = s.random.Uint64() >> 1
	if s.votes {
		if o.ListenAddress == "" {
			return nil, errors.New("agreement.listen: missing, and this broker votes")
		}
		if err := s.open(); err != nil {
			return nil, err
		}
	}
	if o.ListenAddress != "" {
		ln, err := net.Listen("tcp", o.ListenAddress)
		if err != nil {
			return nil, fmt.Errorf("agreement.listen: %w", err)
		}
		s.ln = ln
	}
	return s, nil
}

// open gives the voter its state: that of the disk, or none and a new identity.
func (s *Service) open() error {
	id := consensus.DrawID(s.random)
	s.storage = consensus.NewMemory()
	if s.o.DataDir != "" {
		disk, held, err := consensus.Open(filepath.Join(s.o.DataDir, "agreement.db"), func() uint64 { return id })
		if err != nil {
			return fmt.Errorf("agreement.dir: %w", err)
		}
		s.storage, id = disk, held
	}
	return s.vote(id)
}

func (s *Service) vote(id uint64) error {
	v, err := consensus.New(s.now(), consensus.Options{ID: id, Timing: s.o.Timing, Rules: s.rules, Log: s.o.Log}, s.storage)
	if err != nil {
		return fmt.Errorf("agreement: %w", err)
	}
	s.voter, s.aloneAt = v, s.now()
	return nil
}

func (s *Service) now() clusterconfig.Micros { return clusterconfig.Micros(s.o.Now()) }

// ConfigChanges is called at the begin of each turn of the core, with the clock that the turn reads. It returns what the core has to go over
// to before it decides anything, nil for nothing: a process that was stopped for minutes does not decide once by what it knew.
func (s *Service) ConfigChanges(at broker.Micros) []broker.Event {
	now := clusterconfig.Micros(at)
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.holder.View(now)
	is := sign{s.holder.Document().Epoch, view.Version, view.Preparing, view.Restricted}
	last := s.turned
	s.turned = now
	if is == s.acts && s.since > 0 {
		return nil
	}
	s.acts, s.since = is, now
	s.o.Log.Info("acts", "epoch", is.epoch, "version", is.version, "preparing", is.preparing, "restricted", is.restricted, "before_us", now-last)
	events := []broker.Event{broker.SettingsChanged{Settings: effective(s.set, s.o.LimitFloors, view)}}
	if nodes := s.drains(view); len(nodes) > 0 {
		events = append(events, broker.NodesListed{Kind: scheduler.DeltaUpdate, Nodes: nodes})
	}
	return events
}

// drains brings the list up to what changed in the view.
func (s *Service) drains(view clusterconfig.View) []broker.Node {
	keys, all := s.holder.Touched()
	if all {
		return s.list.agree(drained(view))
	}
	var changed []broker.Node
	for _, key := range keys {
		if host, is := between(key, nodeKey, drainKey); is {
			changed = append(changed, s.list.one(host, view.Value(key) == "yes")...)
		}
	}
	return changed
}

// SettingsChanged goes over to a settings file that was read again. What it says of agreed keys becomes a proposal; all else counts at once.
func (s *Service) SettingsChanged(set scheduler.Settings) {
	s.mu.Lock()
	s.set, s.since = set, 0 // the next turn brings it
	s.mu.Unlock()
	s.wake()
	s.do(func() { s.fileDue = true })
}

// HandleEndpoints takes what discovery or membership says, in place of the core.
func (s *Service) HandleEndpoints(e broker.Event) {
	listed, is := e.(broker.NodesListed)
	if !is {
		s.post(e)
		return
	}
	s.mu.Lock()
	shown, leave, stay := s.list.news(listed)
	s.mu.Unlock()
	s.post(shown)
	if len(leave)+len(stay) > 0 {
		s.do(func() {
			for _, host := range leave {
				s.wants[host] = wanted{"yes", s.now() + clusterconfig.Micros(s.random.IntN(drainWait))}
			}
			for _, host := range stay {
				s.wants[host] = wanted{"", s.now() + clusterconfig.Micros(s.random.IntN(drainWait))}
			}
		})
	}
}

// do has a function run on the run's own goroutine.
func (s *Service) do(call func()) {
	select {
	case s.calls <- call:
	case <-s.done:
	}
}

// Run takes part until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer func() {
		close(s.done)
		stop()
		if s.ln != nil {
			s.ln.Close()
		}
		for _, l := range s.links() {
			l.end()
		}
		wait.Wait()
		if s.storage != nil {
			s.storage.Close()
		}
	}()
	if s.ln != nil {
		wait.Go(s.accept)
	}
	if s.votes {
		for _, m := range s.o.Voters {
			if m.Name != s.o.Name {
				wait.Go(func() { s.dialVoter(ctx, m) })
			}
		}
	} else {
		wait.Go(func() { s.dialParent(ctx) })
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.calls:
			call()
			for range 64 { // what has come meanwhile
				select {
				case call := <-s.calls:
					call()
					continue
				default:
				}
				break
			}
		case <-timer.C:
		}
		timer.Reset(time.Duration(max(0, s.work()-s.now())) * time.Microsecond)
	}
}

// show leaves figures for whoever reads them.
func (s *Service) show(now clusterconfig.Micros) {
	if s.voter == nil || now < s.showAt {
		return
	}
	s.showAt = now + showEvery
	_, term := s.voter.Status()
	leads, behind, waits := uint64(0), 0, 0
	if s.voter.Leads() {
		leads, behind, waits = 1, len(s.voter.Keeper().Behind(now)), len(s.voter.Keeper().Waits(now))
	}
	s.seen.term.Store(term)
	s.seen.leads.Store(leads)
	s.seen.behind.Store(uint64(behind))
	s.seen.waits.Store(uint64(waits))
}

func (s *Service) links() []*link {
	links := slices.Concat(slices.Collect(maps.Values(s.dialed)), slices.Collect(maps.Values(s.voters)), slices.Collect(maps.Values(s.children)))
	if s.parent != nil {
		links = append(links, s.parent)
	}
	return links
}

// work does what is due and tells when it wants to be called again.
func (s *Service) work() clusterconfig.Micros {
	now := s.now()
	if now >= s.renewAt {
		s.renew(now)
	}
	next := s.renewAt
	if v := s.voter; v != nil {
		if now >= v.Next() {
			s.effect(v.Tick(now))
		}
		next = min(next, v.Next())
		if now >= s.formAt {
			s.formAt = now + formEvery
			s.form(now)
		}
		if v.Leads() && now >= s.swapAt {
			s.swapAt = now + swapEvery
			for name, l := range s.voters {
				if id := v.Record().Members[name]; l.fresh && id != l.id && !l.closed.Load() {
					s.effect(v.Replace(now, clusterconfig.Member{Name: name, ID: l.id}))
				}
			}
			s.bring(now)
		}
		next = min(next, s.formAt)
	}
	s.show(now)
	s.propose(now)
	if s.flushAt > 0 && now >= s.flushAt {
		s.flush()
	}
	if s.flushAt > 0 {
		next = min(next, s.flushAt)
	}
	if p := s.parent; p != nil && now-s.heardAt > 2*s.o.Timing.Lease { // nothing comes this way: it may lead in a circle
		s.heardAt = now
		p.end()
	}
	return next
}

// renew asks for the lease.
func (s *Service) renew(now clusterconfig.Micros) {
	every := s.o.Timing.Lease / renewals
	s.renewAt = now + every - clusterconfig.Micros(s.random.Int64N(every/5+1))
	s.mu.Lock()
	r := s.holder.Renew(now)
	s.mu.Unlock()
	s.rise(up{Renewals: []clusterconfig.Renewal{r}})
	if len(s.routes) > 0 {
		maps.DeleteFunc(s.routes, func(_ string, r route) bool { return r.link.closed.Load() || now-r.seen > routeSpan })
	}
}

// rise has something go up: to this broker itself if it leads.
func (s *Service) rise(u up) {
	if s.voter != nil && s.voter.Leads() {
		s.handle(u)
		return
	}
	if len(s.batch.Renewals)+len(s.batch.Asks)+len(s.batch.Offers) == 0 {
		s.flushAt = s.now() + gather.Microseconds()
	}
	if len(s.batch.Renewals) < mostRoutes && len(s.batch.Asks) < mostAsks {
		s.batch.Renewals = append(s.batch.Renewals, u.Renewals...)
		s.batch.Asks = append(s.batch.Asks, u.Asks...)
		s.batch.Offers = append(s.batch.Offers, u.Offers...)
	}
}

func (s *Service) flush() {
	batch := s.batch
	s.batch, s.flushAt = up{}, 0
	to := s.parent
	if s.voter != nil {
		if s.voter.Leads() {
			s.handle(batch)
			return
		}
		leader, _ := s.voter.Status()
		to = s.dialed[s.ids[leader]]
	}
	if to != nil {
		to.send(frame{Up: &batch})
	}
}

// took notes by which way answers go.
func (s *Service) took(l *link, u up) {
	now := s.now()
	from := func(holder string) {
		if _, known := s.routes[holder]; known || len(s.routes) < mostRoutes {
			s.routes[holder] = route{l, now}
		}
	}
	for _, r := range u.Renewals {
		from(r.Holder)
	}
	for _, a := range u.Asks {
		from(a.Holder)
	}
	s.rise(u)
}

// handle is the leader's.
func (s *Service) handle(u up) {
	now, v := s.now(), s.voter
	var grants []*clusterconfig.Grant
	d := down{}
	for _, r := range u.Renewals {
		if g := v.Renewed(now, r); g != nil {
			grants = append(grants, g)
		} else if v.Wants(r) {
			d.Lend = append(d.Lend, r.Holder)
		}
	}
	for _, doc := range u.Offers {
		v.Offered(doc)
	}
	for _, a := range u.Asks {
		s.answer(now, a)
	}
	s.sink(grants, d)
	if now >= v.Next() {
		s.effect(v.Tick(now)) // a change may be due by what these say
	}
}

// sink has what comes from the leader go to this broker and, by their routes, to others.
func (s *Service) sink(grants []*clusterconfig.Grant, d down) {
	now := s.now()
	by := map[*link][]*clusterconfig.Grant{}
	extra := map[*link]*down{}
	at := func(holder string) *down {
		l := s.routes[holder].link
		if l == nil {
			return nil
		}
		if extra[l] == nil {
			extra[l] = &down{}
		}
		return extra[l]
	}
	for _, g := range grants {
		if g.Holder == s.o.Name {
			s.granted(now, g)
		} else if l := s.routes[g.Holder].link; l != nil {
			by[l] = append(by[l], g)
		}
	}
	for _, holder := range d.Lend {
		if holder == s.o.Name {
			s.mu.Lock()
			doc := s.holder.Document().Clone()
			s.mu.Unlock()
			s.rise(up{Offers: []*clusterconfig.Document{doc}})
		} else if to := at(holder); to != nil {
			to.Lend = append(to.Lend, holder)
		}
	}
	for _, r := range d.Replies {
		if r.Holder == s.o.Name {
			if done := s.asked[r.Number]; done != nil {
				delete(s.asked, r.Number)
				done(r)
			}
		} else if to := at(r.Holder); to != nil {
			to.Replies = append(to.Replies, r)
		}
	}
	for l, some := range by {
		l.send(frame{Down: pack(some)})
	}
	for l, some := range extra {
		l.send(frame{Down: some})
	}
	if d.Poke {
		s.poke(now)
	}
}

// poke tells those below, and this broker's own holder, that there is news.
func (s *Service) poke(now clusterconfig.Micros) {
	for _, l := range s.children {
		l.send(frame{Down: &down{Poke: true}})
	}
	if s.voter != nil && s.voter.Leads() {
		for _, l := range s.voters {
			l.send(frame{Down: &down{Poke: true}})
		}
	}
	s.renewAt = now
}

func (s *Service) granted(now clusterconfig.Micros, g *clusterconfig.Grant) {
	s.mu.Lock()
	before := s.holder.View(now)
	took := s.holder.Granted(now, *g)
	after := s.holder.View(now)
	s.mu.Unlock()
	if !took {
		return
	}
	s.heardAt = now
	if before.Preparing != after.Preparing || before.Version != after.Version || before.Restricted {
		s.wake() // the core goes over in a turn of its own
		if after.Preparing > 0 {
			s.renewAt = now // and says so at once
		}
	}
}

// effect carries out what the voter wants.
func (s *Service) effect(e consensus.Effects) {
	for _, m := range e.Messages {
		if l := s.dialed[s.ids[m.GetTo()]]; l != nil {
			if text, err := proto.Marshal(m); err == nil {
				l.send(frame{Raft: text})
			}
		}
	}
	if e.News && s.voter.Leads() {
		s.poke(s.now())
	}
	if leader, _ := s.voter.Status(); leader > 0 {
		s.aloneAt = s.now()
	}
}

// form has voters without any state begin, once all of them are there and none has any: whoever has state may be part of a consensus that
// goes on. The first by name speaks for all.
func (s *Service) form(now clusterconfig.Micros) {
	v := s.voter
	if !v.Fresh() {
		if !v.Begun() && now-s.aloneAt > halfFormed {
			s.o.Log.Warn("formed with voters that are gone: begins anew")
			s.anew()
		}
		return
	}
	members := map[string]uint64{s.o.Name: v.ID()}
	for _, m := range s.o.Voters {
		if m.Name == s.o.Name {
			continue
		}
		l := s.dialed[m.Name]
		if l == nil || !l.fresh || l.closed.Load() || m.Name < s.o.Name {
			return
		}
		members[m.Name] = l.id
	}
	f := &form{Epoch: consensus.DrawID(s.random), Members: members}
	for _, l := range s.dialed {
		l.send(frame{Form: f})
	}
	s.formed(f)
}

func (s *Service) formed(f *form) {
	if !s.voter.Fresh() || f.Members[s.o.Name] != s.voter.ID() || len(f.Members) != len(s.o.Voters) {
		return
	}
	err := consensus.Form(s.storage, f.Epoch, f.Members)
	if err == nil {
		err = s.vote(s.voter.ID())
	}
	if err != nil {
		s.o.Log.Error("not formed", "reason", err)
		return
	}
	s.o.Log.Info("formed", "epoch", f.Epoch, "voters", len(f.Members))
}

// anew gives the voter another identity, without state.
func (s *Service) anew() {
	if err := s.storage.Forget(); err != nil {
		s.o.Log.Error("the old state stays", "reason", err)
		return
	}
	if err := s.open(); err != nil {
		s.o.Log.Error("no state", "reason", err)
		return
	}
	for _, l := range s.links() { // others must hear of the new identity
		l.end()
	}
}

// bring proposes the settings of the leader where nothing is in force: the first version.
func (s *Service) bring(now clusterconfig.Micros) {
	v := s.voter
	if v.Record().Doc.Version > 0 || v.Record().Pending != nil || v.Offers() || now < s.importAt || !v.Keeper().Clear(now) {
		return
	}
	s.importAt = now + again
	s.mu.Lock()
	changes := changesTo(v.Record().Doc, valuesOf(s.set, s.o.LimitFloors))
	s.mu.Unlock()
	if len(changes) > 0 {
		s.effect(v.Propose(now, clusterconfig.Proposal{Author: s.o.Name, Reason: "settings of the first leader", Changes: changes}, func(_ clusterconfig.Entry, err error) {
			if err != nil {
				s.o.Log.Warn("first version not taken", "reason", err)
			}
		}))
	}
}

// propose has what this broker's file and discovery say agreed on.
func (s *Service) propose(now clusterconfig.Micros) {
	if len(s.wants) == 0 && !s.fileDue || now < s.importAt {
		return
	}
	s.mu.Lock()
	doc, restricted := s.holder.Document(), s.holder.View(now).Restricted
	p := clusterconfig.Proposal{Expected: doc.Version, Author: s.o.Name}
	if s.fileDue && doc.Version > 0 {
		p.Changes, p.Reason = changesTo(doc, valuesOf(s.set, s.o.LimitFloors)), "settings file"
		s.fileDue = len(p.Changes) > 0
	}
	if len(p.Changes) == 0 {
		for host, w := range s.wants {
			switch key := nodeKey + host + drainKey; {
			case doc.Values[key] == w.value:
				delete(s.wants, host)
			case now >= w.at && doc.Version > 0 && len(p.Changes) < mostAsks:
				p.Changes, p.Reason = append(p.Changes, clusterconfig.Change{Key: key, Value: w.value}), "discovery"
			}
		}
	}
	s.mu.Unlock()
	if restricted || len(p.Changes) == 0 {
		return
	}
	s.importAt = now + again/2 + clusterconfig.Micros(s.random.IntN(again/2))
	s.ask(ask{Call: "propose", Proposal: &p}, func(r reply) {
		if r.Error != "" {
			s.o.Log.Info("proposal not taken", "reason", r.Error, "why", p.Reason)
		}
		if r.Kind == "invalid" {
			s.fileDue = false
			clear(s.wants)
		}
	})
}

// ask sends a call to the leader; done hears the answer, if one comes.
func (s *Service) ask(a ask, done func(reply)) {
	if len(s.asked) >= mostAsks {
		clear(s.asked) // nobody answers
	}
	s.askNo++
	a.Holder, a.Number = s.o.Name, s.askNo
	s.asked[a.Number] = done
	s.rise(up{Asks: []ask{a}})
}

// ---- connections

func (s *Service) hello() hello {
	h := hello{Cluster: s.o.Cluster, Terms: s.terms, Name: s.o.Name, Listen: s.o.ListenAddress, Voter: s.votes}
	if s.voter != nil {
		h.ID, h.Fresh = s.voter.ID(), s.voter.Fresh()
	}
	return h
}

// accept lets others in.
func (s *Service) accept() {
	room := make(chan struct{}, s.o.MaxChildren+len(s.o.Voters)+8)
	for {
		conn, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(leastPause)
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			s.counts.refused.Add(1)
			conn.Close()
			continue
		}
		go func() {
			defer func() { <-room }()
			s.receive(conn)
		}()
	}
}

func (s *Service) receive(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(dialSpan))
	in := bufio.NewReader(conn)
	f, _, err := readFrame(in, helloBytes)
	if err != nil || f.Hello == nil {
		s.counts.refused.Add(1)
		return
	}
	l := newLink(conn, in, &s.counts)
	l.name, l.listen, l.id, l.fresh, l.voter = f.Hello.Name, f.Hello.Listen, f.Hello.ID, f.Hello.Fresh, f.Hello.Voter
	admitted := make(chan bool, 1)
	s.do(func() {
		w, ok := s.admit(l, *f.Hello)
		if _, err := writeFrame(conn, frame{Welcome: &w}); err != nil || !ok { // short: it fits the socket's buffer
			l.end()
			ok = false
		}
		admitted <- ok
	})
	select {
	case ok := <-admitted:
		if !ok {
			s.counts.refused.Add(1)
			return
		}
	case <-s.done:
		return
	}
	go l.write()
	err = l.read(func(f frame) error {
		switch {
		case f.Raft != nil:
			var m raftpb.Message
			if err := proto.Unmarshal(f.Raft, &m); err != nil {
				return err
			}
			s.do(func() {
				if s.voter != nil && l.voter {
					s.effect(s.voter.Step(s.now(), &m))
				}
			})
		case f.Up != nil:
			s.do(func() { s.took(l, *f.Up) })
		case f.Form != nil:
			s.do(func() {
				if s.voter != nil && l.voter {
					s.formed(f.Form)
				}
			})
		}
		return nil
	})
	s.do(func() {
		for _, m := range []map[string]*link{s.voters, s.children} {
			if m[l.name] == l {
				delete(m, l.name)
			}
		}
	})
	s.o.Log.Debug("connection ended", "name", l.name, "reason", err)
}

// admit decides who may attach, on the run's goroutine.
func (s *Service) admit(l *link, h hello) (welcome, bool) {
	w := welcome{Name: s.o.Name}
	if s.voter != nil {
		w.ID, w.Fresh = s.voter.ID(), s.voter.Fresh()
	}
	switch {
	case h.Cluster != s.o.Cluster:
		w.Reason = fmt.Sprintf("this is cluster %q", s.o.Cluster)
	case h.Terms != s.terms:
		w.Reason = "lease, limits or members are set differently here"
	case h.Name == s.o.Name || h.Name == "" || h.Voter != s.o.member(h.Name):
		w.Reason = "that name is not yours"
	case h.Voter && !s.votes:
		w.Reason = "no voter"
	}
	if w.Reason != "" {
		s.o.Log.Warn("broker turned away", "name", h.Name, "reason", w.Reason)
		return w, false
	}
	if h.Voter {
		if old := s.voters[h.Name]; old != nil {
			old.end()
		}
		s.voters[h.Name] = l
		s.ids[h.ID] = h.Name
		return w, true
	}
	if old := s.children[h.Name]; old != nil {
		old.end()
		delete(s.children, h.Name)
	}
	switch {
	case !s.votes && (s.parent == nil || s.parent.closed.Load()):
		w.Reason = "no way to a voter from here"
	case s.parent != nil && slices.Contains(s.parent.path, h.Name):
		w.Reason = "a circle"
	case len(s.children) >= s.o.MaxChildren:
		w.Reason = "enough are fed here"
		for _, c := range s.children {
			if c.listen != "" {
				w.Others = append(w.Others, c.listen)
			}
		}
	default:
		if s.parent != nil {
			w.Path = slices.Clone(s.parent.path)
		}
		w.Path = append(w.Path, s.o.Name)
		s.children[h.Name] = l
		return w, true
	}
	return w, false
}

// dial connects and introduces itself.
func (s *Service) dial(ctx context.Context, address string) (*link, welcome, error) {
	d := net.Dialer{Timeout: dialSpan}
	if s.o.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: s.o.LocalIP}
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, welcome{}, err
	}
	own := make(chan hello, 1)
	s.do(func() { own <- s.hello() })
	var h hello
	select {
	case h = <-own:
	case <-s.done:
		conn.Close()
		return nil, welcome{}, net.ErrClosed
	}
	conn.SetDeadline(time.Now().Add(2 * dialSpan))
	in := bufio.NewReader(conn)
	_, err = writeFrame(conn, frame{Hello: &h})
	var f frame
	if err == nil {
		f, _, err = readFrame(in, mostFrame)
	}
	if err == nil && f.Welcome == nil {
		err = errors.New("no welcome")
	}
	if err != nil {
		conn.Close()
		return nil, welcome{}, err
	}
	if f.Welcome.Reason != "" {
		conn.Close()
		return nil, *f.Welcome, errors.New(f.Welcome.Reason)
	}
	l := newLink(conn, in, &s.counts)
	l.name, l.id, l.fresh, l.path = f.Welcome.Name, f.Welcome.ID, f.Welcome.Fresh, f.Welcome.Path
	return l, *f.Welcome, nil
}

// follow reads what comes down a link that this broker dialed.
func (s *Service) follow(l *link) {
	go l.write()
	err := l.read(func(f frame) error {
		if f.Down == nil {
			return nil
		}
		grants, err := f.Down.unpack()
		if err != nil {
			return err
		}
		s.do(func() { s.sink(grants, *f.Down) })
		return nil
	})
	s.o.Log.Debug("connection ended", "name", l.name, "reason", err)
}

// pause waits before another try: longer each time, drawn apart.
func pause(ctx context.Context, tries int) {
	span := min(mostPause, leastPause<<min(tries, 10))
	timer := time.NewTimer(span/2 + rand.N(span))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dialVoter keeps a connection to another voter.
func (s *Service) dialVoter(ctx context.Context, m Voter) {
	for tries := 0; ctx.Err() == nil; tries++ {
		l, _, err := s.dial(ctx, m.Address)
		if err == nil && l.name != m.Name {
			l.end()
			err = fmt.Errorf("%q answers there", l.name)
		}
		if err != nil {
			s.o.Log.Debug("voter not reached", "name", m.Name, "reason", err)
			pause(ctx, tries)
			continue
		}
		tries = 0
		s.do(func() {
			s.dialed[m.Name] = l
			s.ids[l.id] = m.Name
		})
		s.follow(l)
		s.do(func() {
			if s.dialed[m.Name] == l {
				delete(s.dialed, m.Name)
			}
		})
		pause(ctx, 0)
	}
}

// dialParent keeps a connection to a broker that is nearer to a voter.
func (s *Service) dialParent(ctx context.Context) {
	var ask []string
	for tries := 0; ctx.Err() == nil; {
		if len(ask) == 0 {
			for _, m := range s.o.Voters {
				ask = append(ask, m.Address)
			}
			rand.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
		}
		address := ask[0]
		ask = ask[1:]
		l, w, err := s.dial(ctx, address)
		if err == nil && slices.Contains(l.path, s.o.Name) {
			l.end()
			err = errors.New("a circle")
		}
		if err != nil {
			if len(w.Others) > 0 && tries < 64 { // a step down the tree
				ask = append([]string{w.Others[rand.IntN(len(w.Others))]}, ask...)
			}
			tries++
			s.o.Log.Debug("not attached", "address", address, "reason", err)
			if len(w.Others) == 0 {
				pause(ctx, min(tries/3, 5))
			}
			continue
		}
		tries, ask = 0, nil
		s.do(func() {
			s.parent, s.heardAt = l, s.now()
			s.renewAt = s.now()
		})
		s.follow(l)
		s.do(func() {
			if s.parent == l {
				s.parent = nil
			}
		})
		pause(ctx, 0)
	}
}

// Metrics are the broker's own, for sinks and the console.
func (s *Service) Metrics() []broker.Metric {
	now := s.now()
	s.mu.Lock()
	view, left, since, acts := s.holder.View(now), s.holder.LeaseLeft(now), s.holder.RestrictedSince(), s.since
	s.mu.Unlock()
	restricted, span := uint64(0), clusterconfig.Micros(0)
	if view.Restricted {
		restricted, span = 1, now-since
	}
	count := func(name string, n int64) broker.Metric {
		return broker.Metric{Name: "agree_" + name, Value: uint64(n), Counter: true}
	}
	return []broker.Metric{{Name: "agree_version", Value: view.Version}, {Name: "agree_preparing", Value: view.Preparing}, {Name: "agree_age_ms", Value: uint64(max(0, now-acts) / 1000)},
		{Name: "agree_lease_left_ms", Value: uint64(left / 1000)}, {Name: "agree_restricted", Value: restricted}, {Name: "agree_restricted_ms", Value: uint64(max(0, span) / 1000)},
		{Name: "agree_term", Value: s.seen.term.Load()}, {Name: "agree_leads", Value: s.seen.leads.Load()}, {Name: "agree_behind", Value: s.seen.behind.Load()}, {Name: "agree_waits", Value: s.seen.waits.Load()},
		count("bytes_sent", s.counts.sent.Load()), count("bytes_received", s.counts.received.Load()), count("dropped", s.counts.dropped.Load()), count("turned_away", s.counts.refused.Load())}
}
