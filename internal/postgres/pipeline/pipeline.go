// Package pipeline orders the commands that a client sends without waiting for
// the answers to earlier ones. It decides which commands may run concurrently,
// and keeps each answer until those before it were sent. It holds rules only:
// there is no I/O and no clock.
package pipeline

// Window is how many commands of one connection, counted from the oldest one
// that is not answered, may be running or waiting with an answer.
const Window = 64

// Access is what a command reads or writes, as far as it decides the order of
// execution.
type Access struct {
	Group   int    // the replica group
	Session uint64 // whose writes a read must see, or that writes; 0 for none
	Write   bool
	Fresh   bool // a read that must see every write before it
}

// conflicts reports whether two commands must run in the order in which they
// were received: writes to one group, and a write and a read that must see it.
// Other reads may be served from older data by their class, so that their order
// cannot be observed.
func conflicts(a, b Access) bool {
	if a.Group != b.Group || !a.Write && !b.Write {
		return false
	}
	if a.Write && b.Write || a.Fresh || b.Fresh {
		return true
	}
	return a.Session != 0 && a.Session == b.Session
}

// state is how far a command is.
type state uint8

const (
	waiting state = iota
	running
	answered
)

// Command is one command in a Queue.
type Command[T any] struct {
	Access
	Value T // the owner's data

	state  state
	answer []byte
	copies int  // how many commands share the entry and its answer
	last   bool // the connection ends after this answer
}

// Waiting reports whether c was not started yet.
func (c *Command[T]) Waiting() bool { return c.state == waiting }

// Running reports whether c was started and is not answered.
func (c *Command[T]) Running() bool { return c.state == running }

// Queue holds the commands of one connection in the order in which they were
// received. The zero Queue is empty and ready for use. It is not safe for
// concurrent use.
type Queue[T any] struct {
	commands []*Command[T]
}

// Len returns the number of entries; consecutive commands that were merged share
// one.
func (q *Queue[T]) Len() int { return len(q.commands) }

// Commands returns the number of commands, merged ones included.
func (q *Queue[T]) Commands() (count int) {
	for _, c := range q.commands {
		count += c.copies
	}
	return count
}

// Add appends a command that has to be executed.
func (q *Queue[T]) Add(access Access, value T) *Command[T] {
	c := &Command[T]{Access: access, Value: value, copies: 1}
	q.commands = append(q.commands, c)
	return c
}

// Merge adds a command to the last entry, if that has the very same answer, so
// that a flood of such commands takes no memory. It reports whether it did.
func (q *Queue[T]) Merge(answer []byte) bool {
	if len(q.commands) == 0 || len(answer) == 0 {
		return false
	}
	newest := q.commands[len(q.commands)-1]
	if newest.state != answered || newest.last || len(newest.answer) == 0 {
		return false
	}
	if &newest.answer[0] != &answer[0] { // equal bytes elsewhere are not the same answer
		return false
	}
	newest.copies++
	return true
}

// AddAnswered appends a command that is not executed, with its answer. If last
// is set, the connection ends after it.
func (q *Queue[T]) AddAnswered(answer []byte, last bool, value T) *Command[T] {
	c := q.Add(Access{}, value)
	c.state = answered
	c.answer = answer
	c.last = last
	return c
}

// NextStart returns the first command that may start now, nil if there is none,
// and whether it is the oldest in the queue.
func (q *Queue[T]) NextStart() (c *Command[T], oldest bool) {
	for i, c := range q.commands[:min(len(q.commands), Window)] {
		if c.state == waiting && !q.blocked(i) {
			return c, i == 0
		}
	}
	return nil, false
}

// blocked reports whether the command at index i must wait for an earlier one.
func (q *Queue[T]) blocked(i int) bool {
	for _, earlier := range q.commands[:i] {
		if earlier.state != answered && conflicts(earlier.Access, q.commands[i].Access) {
			return true
		}
	}
	return false
}

// Start marks a command as running.
func (c *Command[T]) Start() { c.state = running }

// Answer sets the answer to c, which is kept until its turn.
func (c *Command[T]) Answer(answer []byte) {
	c.state = answered
	c.answer = answer
}

// NextAnswers removes the answers whose turn has come, in order: as many as fit
// into size bytes, but at least one. It returns their bytes, the entries that
// are done, and whether the connection ends after these bytes.
func (q *Queue[T]) NextAnswers(size int) (answers []byte, done []*Command[T], last bool) {
	for len(q.commands) > 0 && !last {
		oldest := q.commands[0]
		if oldest.state != answered {
			break
		}
		if len(answers) > 0 && len(answers)+len(oldest.answer) > size {
			break
		}
		answers = append(answers, oldest.answer...)
		oldest.copies--
		if oldest.copies > 0 {
			continue
		}
		done = append(done, oldest)
		last = oldest.last
		q.commands[0] = nil // for the garbage collector
		q.commands = q.commands[1:]
	}
	return answers, done, last
}

// Each calls do for every entry of the queue.
func (q *Queue[T]) Each(do func(*Command[T])) {
	for _, c := range q.commands {
		do(c)
	}
}

// FirstRunning returns the oldest running command, nil if there is none.
func (q *Queue[T]) FirstRunning() *Command[T] {
	for _, c := range q.commands {
		if c.state == running {
			return c
		}
	}
	return nil
}

// Clear removes all commands.
func (q *Queue[T]) Clear() { q.commands = nil }
