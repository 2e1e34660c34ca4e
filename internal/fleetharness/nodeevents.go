package fleetharness

// applyNodeEvent applies a node event. The returned function undoes it.
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

// eachNode calls do for each node of an event.
func (f *Fleet) eachNode(event Event, do func(*fakeNode)) {
	for _, i := range event.Nodes {
		do(f.nodes[i])
	}
}

// changeLinks changes the faults of the links between the nodes and the brokers of an event.
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

// add adds the faults of an event to a link, or removes them if sign is -1.
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

// restoreBehavior restores a node's usual speed and its correct reports.
func (n *fakeNode) restoreBehavior() {
	n.setSpeed(1)
	n.setReportsIdle(false)
}

// restartNode restarts a node that crashed. A node that cannot listen stays down, which the figures of its brokers
// show.
func (f *Fleet) restartNode(n *fakeNode) {
	if n.restart() == nil {
		f.discovery.publishHealth(n, healthServing)
	}
}

// joinNodes adds a newly started node to the shard of each of the given nodes.
func (f *Fleet) joinNodes(beside []int) error {
	for _, i := range beside {
		n, err := newNode(f, f.scenario.Node.Count+i, f.nodes[i].shard, nodeName(i)+"-new")
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.startedAt = Now()
		n.mu.Unlock()
		f.recorder.mu.Lock() // held by functions that count attempts by node
		f.nodes = append(f.nodes, n)
		f.recorder.mu.Unlock()
		f.discovery.publishHealth(n, healthServing)
	}
	return nil
}
