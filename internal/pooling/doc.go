// Package pooling holds the rules of transaction pooling, by which many clients
// use few connections to PostgreSQL endpoints:
//
//   - Analyzer: what a statement does to its session;
//   - Session, Settings and ConnectionState: which session state can be handed over
//     to another connection, and what pins a session to its connection;
//   - StatementCatalog, ClientStatements, ConnectionStatements and Pipeline: prepared
//     statements and the extended protocol;
//   - Leases: which client gets a connection next.
//
// It has no I/O, no clock and no goroutines; times are Unix milliseconds. No
// type is safe for concurrent use unless it says so.
//
// Statements are read by the lexical rules of PostgreSQL 15 (section 4.1), and
// no further than the rules need. Where an effect cannot be known, the worst is
// assumed.
package pooling
