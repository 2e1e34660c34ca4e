// Package review holds the cases of an independent review. Each case is a folder with a claim and a script; REPORT.md
// lists them. The tests of this package run the scripts, and only if REVIEW is set in the environment.
package review
