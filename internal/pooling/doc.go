// Package pooling implements the rules of transaction and session pooling, by
// which many clients share few connections to PostgreSQL endpoints:
//
//   - Analyzer determines what a statement does to its session;
//   - Session, Settings and ConnectionState track which session state can be
//     handed over to another connection, and what pins a session to its own;
//   - StatementCatalog, ClientStatements, ConnectionStatements and Pipeline
//     handle prepared statements and the extended query protocol;
//   - Leases decides which client gets a connection next.
//
// The package has no I/O, no clock and no goroutines; times are Unix
// milliseconds. A type is not safe for concurrent use unless its documentation
// says so.
//
// Statements are tokenized by the lexical rules of PostgreSQL 15 (section 4.1)
// and parsed only as far as these rules need. Where an effect cannot be
// determined, the worst case is assumed.
package pooling
