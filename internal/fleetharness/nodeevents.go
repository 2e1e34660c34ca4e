package fleetharness

// applyNodeEvent carries out an event of nodes. The returned function undoes it.
func (f *Fleet) applyNodeEvent(event Event) (undo func(), err error) {
	switch event.Kind {
	case NodeSilent:
		f.changeLinks(event, func(fault *linkFault) { fault.silent = true })
		return func() { f.changeLinks(event, func(fault *linkFault) { fault.silent = false }) }, nil
	case NodeAnswersLost:
		f.changeLinks(event, func(fault *linkFault) { fault.answersLost = true })
		return func() { f.changeLinks(event, func(fault *linkFault) { fault.answersLost = false }) }, nil
	case NodeDelay, NodeLoss, NodePace, NodeCut:
		f.changeLinks(event, func(fault *linkFault) { fault.add(event, 1) })
		return func() { f.changeLinks(event, func(fault *linkFault) { fault.add(event, -1) }) }, nil
	case NodeSlow:
		f.eachNode(event, func(n *fakeNode) { n.setSpeed(event.Amount) })
		return func() { f.eachNode(event, (*fakeNode).restoreBehavior) }, nil
	case NodeReportsIdle:
		f.eachNode(event, func(n *fakeNode) { n.setReportsIdle(true) })
		return func() { f.eachNode(event, (*fakeNode).restoreBehavior) }, nil
	case NodeReset:
		f.eachNode(event, (*fakeNode).resetAll)
	case NodeCrash:
		f.eachNode(event, (*fakeNode).close)
		return func() { f.eachNode(event, f.restartNode) }, nil
	case NodeDrain:
		f.eachNode(event, func(n *fakeNode) { f.discovery.publishHealth(n, healthDraining) })
		return func() {
			f.eachNode(event, func(n *fakeNode) { f.discovery.publishHealth(n, healthServing) })
		}, nil
	case NodeJoin:
		err = f.joinNodes(event.Nodes)
	}
	return func() {}, err
}

// eachNode does something for each node that an event is about.
func (f *Fleet) eachNode(event Event, do func(*fakeNode)) {
	for _, i := range event.Nodes {
		do(f.nodes[i])
	}
}

// changeLinks changes what is wrong between the nodes and the brokers that an event is about.
func (f *Fleet) changeLinks(event Event, change func(*linkFault)) {
	brokers := event.Brokers
	if len(brokers) == 0 {
		brokers = []int{allBrokers}
	}
	f.eachNode(event, func(n *fakeNode) {
		for _, b := range brokers {
			n.setFault(b, change)
		}
	})
}

// add puts what an event makes wrong on top of what is wrong with a link, or takes it off with a sign of -1.
func (f *linkFault) add(event Event, sign int) {
	quality := linkQuality{delay: milliseconds(event.DelayMS), jitter: milliseconds(event.JitterMS)}
	switch event.Kind {
	case NodeLoss:
		quality.loss = event.Amount
	case NodePace:
		f.bytesPerSecond += float64(sign) * event.Amount
	case NodeCut:
		f.cutAt += sign * int(event.Amount)
	}
	if event.Direction != Requests {
		f.answers.add(quality, sign)
	}
	if event.Direction == Requests || event.Direction == Both {
		f.requests.add(quality, sign)
	}
}

// restoreBehavior ends a node's slowness and its false reports.
func (n *fakeNode) restoreBehavior() {
	n.setSpeed(1)
	n.setReportsIdle(false)
}

// restartNode has a node that crashed come back. One that cannot listen stays away, which its brokers' figures show.
func (f *Fleet) restartNode(n *fakeNode) {
	if n.restart() == nil {
		f.discovery.publishHealth(n, healthServing)
	}
}

// joinNodes adds a node that has just started beside each of some nodes.
func (f *Fleet) joinNodes(beside []int) error {
	for _, i := range beside {
		n, err := newNode(f, f.scenario.Node.Count+i, f.nodes[i].shard, nodeName(i)+"-new")
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.startedAt = Now()
		n.mu.Unlock()
		f.recorder.mu.Lock() // who counts attempts by node holds it
		f.nodes = append(f.nodes, n)
		f.recorder.mu.Unlock()
		f.discovery.publishHealth(n, healthServing)
	}
	return nil
}
