// Package gwlease implements the decisions of the controller of a cell, the servers of one service in one data centre:
// which host controls the cell, which sessions are live, and when a range may move.
//
// A Core is a pure step function: it has no clock, no goroutine, no socket and no global randomness. See
// docs/OWNERSHIP.md for the protocol.
package gwlease
