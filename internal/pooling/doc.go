// Package pooling holds the rules by which many clients share few connections
// to PostgreSQL hosts: what a statement does to its session, what of a session
// can be carried to another connection and what pins it, which prepared
// statements a connection has, and who gets a connection next. It has no I/O,
// no clock and no goroutines; times are Unix milliseconds.
//
// The text of statements is read by the lexical rules of PostgreSQL 15
// (chapter 4.1), and no further than the rules need. What cannot be known is
// taken for the worst.
package pooling
