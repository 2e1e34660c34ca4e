package scheduler

// The tuned values. All are without dimension or bounds on a count of requests.
const (
	ticksPerAim = 6.0  // ticks in the smallest aim: fewer make grants late, more cost messages
	boundStart  = 2.0  // first bound on requests out at a node: what keeps most nodes at work
	boundMost   = 8.0  // largest bound: above it the queue forms at the node, where order is lost
	queueShare  = 0.22 // part of the smallest aim that answers may take before the bound shrinks
	jamShare    = 0.36 // part of it that even the quickest answers take in a jam; less idles sound slow nodes
	boundCut    = 0.9  // factor on the bound in a tick with slow answers
	tellTicks   = 3    // each volume in demand is told once in so many ticks
	newsTicks   = 9    // ticks for which told demand counts: two messages may be lost
	newsScale   = 16.0 // steps of a told unit
	newsReport  = 2    // first byte of a message to a volume's keeper; others are dropped
	newsAnswer  = 3    // first byte of the keeper's answer
	newsBytes   = 7    // length of a message
	smoothing   = 0.2  // weight of the newest measurement in running means
	fading      = 0.03 // part by which news of a jam fades in a tick in which nothing is out at the node
	newChoices  = 8    // sound nodes looked at for a new object
	overtakes   = 4    // later answers of a node after which an earlier attempt is presumed lost
	overtime    = 3.0  // and only when it is out for this many times what its size takes
	silenceAims = 3.0  // largest aims without any answer after which a node with work out is silent
	watchRetry  = 0.25 // first wait before asking for the list again, as a part of PollDeadline
	logTicks    = 100  // ticks between two log lines of one kind
	idleTicks   = 2400 // ticks without a request after which a volume's accounts are forgotten
)
