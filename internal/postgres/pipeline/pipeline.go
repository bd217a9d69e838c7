// Package pipeline orders the commands that a client sends without waiting for
// the answers to earlier ones. It tells which commands may run at the same
// time, and keeps each answer until those before it have left. It is a rules
// package: it does no I/O and knows no clock.
package pipeline

// Window is how many commands of one connection, counted from the oldest one
// that is not answered, may run or hold an answer at the same time.
const Window = 64

// Access is what a command does to the data, as far as the order of execution
// can be seen from outside.
type Access struct {
	Group   int
	Session uint64 // the session whose writes a read must see, or that writes; 0 for none
	Write   bool
	Fresh   bool // a read that must see every write before it
}

// conflicts tells whether two commands must run in the order in which they
// came: writes to one group, and a write and a read that must see it. Other
// reads may be answered from older data by their class, so that nothing tells
// their order from another.
func conflicts(a, b Access) bool {
	if a.Group != b.Group || !a.Write && !b.Write {
		return false
	}
	if a.Write && b.Write || a.Fresh || b.Fresh {
		return true
	}
	return a.Session != 0 && a.Session == b.Session
}

type state uint8

const (
	waiting state = iota
	running
	answered
)

// Command is one command in a Queue, with what its owner keeps of it.
type Command[T any] struct {
	Access
	Value T

	state  state
	answer []byte
	copies int  // how many commands have this same answer
	last   bool // the connection ends after this answer
}

// Waiting tells whether c was not started yet.
func (c *Command[T]) Waiting() bool { return c.state == waiting }

// Running tells whether c was started and is not answered.
func (c *Command[T]) Running() bool { return c.state == running }

// Queue holds the commands of one connection in the order in which they came.
// The zero Queue is empty and ready.
type Queue[T any] struct {
	commands []*Command[T]
}

// Len returns how many entries the queue holds; commands in a row that were
// answered with the same bytes share one.
func (q *Queue[T]) Len() int { return len(q.commands) }

// Commands returns how many commands the queue holds.
func (q *Queue[T]) Commands() (n int) {
	for _, c := range q.commands {
		n += c.copies
	}
	return n
}

// Add appends a command that has to be run.
func (q *Queue[T]) Add(access Access, value T) *Command[T] {
	c := &Command[T]{Access: access, Value: value, copies: 1}
	q.commands = append(q.commands, c)
	return c
}

// Merge counts another command in with the last one, if that was given the
// very same answer: a flood of them costs no memory. It tells whether it did.
func (q *Queue[T]) Merge(answer []byte) bool {
	if len(q.commands) == 0 || len(answer) == 0 {
		return false
	}
	c := q.commands[len(q.commands)-1]
	if c.state != answered || c.last || len(c.answer) == 0 || &c.answer[0] != &answer[0] {
		return false
	}
	c.copies++
	return true
}

// AddAnswered appends a command that needs no execution. After the answer to
// the last one, the connection ends.
func (q *Queue[T]) AddAnswered(answer []byte, last bool, value T) *Command[T] {
	c := q.Add(Access{}, value)
	c.state, c.answer, c.last = answered, answer, last
	return c
}

// NextStart returns the first command that may start now, nil if there is
// none, and whether it is the oldest of all.
func (q *Queue[T]) NextStart() (c *Command[T], oldest bool) {
	for i, c := range q.commands[:min(len(q.commands), Window)] {
		if c.state == waiting && !q.blocked(i) {
			return c, i == 0
		}
	}
	return nil, false
}

// blocked tells whether the command at i has to wait for an earlier one.
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

// Answer keeps the answer to c until its turn.
func (c *Command[T]) Answer(answer []byte) { c.state, c.answer = answered, answer }

// NextAnswers takes the answers whose turn has come, in order: as many as fit
// into about size bytes, one at least. It returns the entries that are through,
// and whether the connection ends after these bytes.
func (q *Queue[T]) NextAnswers(size int) (b []byte, done []*Command[T], last bool) {
	for len(q.commands) > 0 && !last {
		c := q.commands[0]
		if c.state != answered {
			break
		}
		if len(b) > 0 && len(b)+len(c.answer) > size {
			break
		}
		b = append(b, c.answer...)
		if c.copies--; c.copies == 0 {
			done, last = append(done, c), c.last
			q.commands[0] = nil
			q.commands = q.commands[1:]
		}
	}
	return b, done, last
}

// Each calls do for every command in the queue.
func (q *Queue[T]) Each(do func(*Command[T])) {
	for _, c := range q.commands {
		do(c)
	}
}

// FirstRunning returns the oldest command that runs, nil if there is none.
func (q *Queue[T]) FirstRunning() *Command[T] {
	for _, c := range q.commands {
		if c.state == running {
			return c
		}
	}
	return nil
}

// Clear forgets all commands.
func (q *Queue[T]) Clear() { q.commands = nil }
