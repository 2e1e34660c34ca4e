// Package capacity generates the tables of docs/CAPACITY.md from raw runs of the fleet harness. The tables compare the
// cost of a broker's control side, by role and fleet size, with the operators' budgets.
//
// # Rules
//
// A cell of Grid is one run. Its raw file under docs/measurements/capacity is named after the cell. The verdict on a
// role uses the broker with the largest value of a measure, because a mean would hide the most heavily loaded broker.
// The growth of a measure is fitted over the fleet sizes that were run. The page marks a law as not clear if the law
// explains too little of the variance. The text between the markers of the page depends on the raw files alone, so a
// test can compare the page with the raw files.
//
// # State and owners
//
// The package has no state. Load and LoadConnectionCosts read files; all other functions only compute. The raw files
// are kept across versions of the program, so their keys are fixed by struct tags.
//
// # Units
//
// Rates are per second, processor time is in cores, memory is in MB, and latencies are in µs.
package capacity
