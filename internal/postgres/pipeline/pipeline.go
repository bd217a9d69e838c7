// Package pipeline orders pipelined commands, which a client sends without waiting
// for the answers to earlier ones. It decides which commands may run concurrently,
// and keeps each answer until all earlier ones were sent. It performs no I/O and
// reads no clock.
package pipeline

// Window is the number of entries at the head of a queue from which commands may be
// started. It limits how many started commands of a connection run or keep their
// answer until earlier answers are sent.
const Window = 64

// Access describes what a command reads or writes, which determines the order of
// execution.
type Access struct {
	Group   int    // replica group
	Session uint64 // of a write, or whose writes a read must see; 0 for none
	Write   bool
	Fresh   bool // a read that must see all earlier writes of the group
}

// conflicts reports whether two commands must run in the order in which they were
// received. That holds for two writes to the same group, and for a write and a read
// that must see it. The class of any other read permits older data, so that its
// order relative to writes cannot be observed.
func conflicts(a, b Access) bool {
	if a.Group != b.Group || !a.Write && !b.Write {
		return false
	}
	if a.Write && b.Write || a.Fresh || b.Fresh {
		return true
	}
	return a.Session != 0 && a.Session == b.Session
}

// state is the execution state of a command.
type state uint8

const (
	waiting  state = iota // not started
	running               // started, not answered
	answered              // kept until its answer is sent
)

// Command is an entry of a Queue.
type Command[T any] struct {
	Access
	Value T // data of the caller

	state  state
	answer []byte
	copies int  // number of merged commands, each of which gets the answer
	last   bool // the connection ends after this answer
}

// Waiting reports whether c was neither started nor answered.
func (c *Command[T]) Waiting() bool { return c.state == waiting }

// Running reports whether c was started and not yet answered.
func (c *Command[T]) Running() bool { return c.state == running }

// Queue holds the commands of one connection in the order in which they were
// received. The zero Queue is empty and ready for use. It is not safe for
// concurrent use.
type Queue[T any] struct {
	commands []*Command[T]
}

// Len returns the number of entries. Merged commands share an entry.
func (q *Queue[T]) Len() int { return len(q.commands) }

// Commands returns the number of commands, counting merged ones individually.
func (q *Queue[T]) Commands() (count int) {
	for _, c := range q.commands {
		count += c.copies
	}
	return count
}

// Add appends a command that waits to be executed.
func (q *Queue[T]) Add(access Access, value T) *Command[T] {
	c := &Command[T]{Access: access, Value: value, copies: 1}
	q.commands = append(q.commands, c)
	return c
}

// Merge adds an answered command to the last entry if that entry has the same answer,
// and reports whether it did. Answers are the same only if they are the same bytes in
// memory. Merging lets a flood of such commands use no additional memory.
func (q *Queue[T]) Merge(answer []byte) bool {
	if len(q.commands) == 0 || len(answer) == 0 {
		return false
	}
	newest := q.commands[len(q.commands)-1]
	if newest.state != answered || newest.last || len(newest.answer) == 0 {
		return false
	}
	if &newest.answer[0] != &answer[0] { // equal bytes elsewhere in memory are not the same answer
		return false
	}
	newest.copies++
	return true
}

// AddAnswered appends a command that is not executed, together with its answer. last
// is true if the connection ends after this answer.
func (q *Queue[T]) AddAnswered(answer []byte, last bool, value T) *Command[T] {
	c := q.Add(Access{}, value)
	c.state = answered
	c.answer = answer
	c.last = last
	return c
}

// NextStart returns the first command that may be started now, nil if there is none,
// and whether it is the oldest in the queue.
func (q *Queue[T]) NextStart() (c *Command[T], oldest bool) {
	for i, c := range q.commands[:min(len(q.commands), Window)] {
		if c.state == waiting && !q.blocked(i) {
			return c, i == 0
		}
	}
	return nil, false
}

// blocked reports whether the command at index i conflicts with an earlier one that
// is not answered.
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

// Answer sets the answer to c, which is kept until all earlier answers were removed.
func (c *Command[T]) Answer(answer []byte) {
	c.state = answered
	c.answer = answer
}

// NextAnswers removes the answers at the head of the queue, up to the first command
// without one: as many as fit into size bytes, but at least one if there is any. It
// returns their concatenation, which must not be changed, the entries that were removed,
// and whether the connection ends after these bytes. An entry of merged commands is
// removed with the last of its answers.
func (q *Queue[T]) NextAnswers(size int) (answers []byte, done []*Command[T], last bool) {
	total := q.nextAnswersBytes(size)
	if len(q.commands) > 0 && total > len(q.commands[0].answer) {
		answers = make([]byte, 0, total)
	}
	for len(q.commands) > 0 && !last {
		oldest := q.commands[0]
		if oldest.state != answered {
			break
		}
		if len(answers) > 0 && len(answers)+len(oldest.answer) > size {
			break
		}
		if total == len(oldest.answer) { // not copied if it is the only one
			answers = oldest.answer
		} else {
			answers = append(answers, oldest.answer...)
		}
		oldest.copies--
		if oldest.copies > 0 {
			continue
		}
		done = append(done, oldest)
		last = oldest.last
		q.commands[0] = nil // lets the garbage collector free the command
		q.commands = q.commands[1:]
	}
	return answers, done, last
}

// nextAnswersBytes returns the length of the answers that NextAnswers would return.
func (q *Queue[T]) nextAnswersBytes(size int) (total int) {
	for _, c := range q.commands {
		if c.state != answered {
			break
		}
		fitting := c.copies
		if length := len(c.answer); length > 0 {
			fitting = min(fitting, max(size-total, 0)/length)
		}
		if total == 0 {
			fitting = max(fitting, 1)
		}
		total += fitting * len(c.answer)
		if fitting < c.copies || c.last {
			break
		}
	}
	return total
}

// Each calls do for every entry, the oldest first.
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
