// Package simprotocol translates between the simulator's binary frames and the
// types of package decide. A batch of events comes in, a reply with the actions
// of each instance goes out; both are little-endian records of a code, a length
// and fields. The package makes no decision.
package simprotocol
