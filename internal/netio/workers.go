package netio

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for tasks. Each keeps a stack of a few
// kilobytes.
const maxIdleWorkers = 32

// workers runs the callbacks of connections and the writes of their queues.
var workers = newWorkerPool()

// workerPool runs functions in goroutines that it uses again, because growing the
// stack of a new goroutine takes longer than most tasks.
type workerPool struct {
	tasks chan func()
	idle  atomic.Int32
}

// newWorkerPool returns a pool without goroutines.
func newWorkerPool() *workerPool { return &workerPool{tasks: make(chan func())} }

// run runs a task in an idle goroutine, or in a new one if there is none. It does not
// wait.
func (p *workerPool) run(task func()) {
	select {
	case p.tasks <- task:
	default:
		go p.work(task)
	}
}

// work runs a task and then further ones, until there are enough idle goroutines.
func (p *workerPool) work(task func()) {
	for {
		task()
		if p.idle.Add(1) > maxIdleWorkers {
			p.idle.Add(-1)
			return
		}
		task = <-p.tasks
		p.idle.Add(-1)
	}
}
