// Package capacity writes the tables of docs/CAPACITY.md from raw runs of the fleet harness: what the control side of a
// broker costs, by role and by the size of the fleet, against the operators' budgets.
//
// # Rules
//
// A cell of Grid is one run, and its name is that of its raw file under docs/measurements/capacity. A role is judged
// by the broker that has most of a measure, since the mean hides the one that bears the cost. How a measure grows is
// fitted over the sizes of the fleet that were run; a law that explains too little is named as not clear. The text
// between the marks of the page follows from the raw files alone, so that a test can compare the two.
//
// # State and owners
//
// The package holds no state. Load and LoadConnectionCosts read files; all else computes. Raw files outlive the
// program: their keys are struct tags.
//
// # Units
//
// Rates are per second, processor time is in cores, memory in MB, latencies in µs.
package capacity
