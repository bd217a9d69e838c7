// Package simprotocol translates between the simulator's binary frames and the
// types of package decide. The simulator sends batches of events and receives, for
// each batch, a reply with the actions of each instance. Both are sequences of
// little-endian records, each of a code, a length and fields.
package simprotocol
