package intake

import "container/heap"

// timer is one deadline of the rules. The caller learns the first by Next.
type timer struct {
	at    float64
	seq   uint64
	index int
	do    func(now float64)
}

type timers []*timer

func (in *Intake) at(at float64, do func(now float64)) *timer {
	in.next++
	t := &timer{at: at, seq: in.next, do: do}
	heap.Push(&in.timers, t)
	return t
}

// remove takes a timer back, if it has not run.
func (h *timers) remove(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(h, t.index)
	}
}

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timers) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
