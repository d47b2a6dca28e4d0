package fair

// heap is a binary heap whose items store their positions (counted from 1; 0 is not in the heap), so that an
// item can be moved or removed after its key has changed.
type heap[T comparable] struct {
	items   []T
	less    func(a, b T) bool
	indexOf func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() (item T) {
	if len(h.items) > 0 {
		item = h.items[0]
	}
	return item
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.indexOf(item) = len(h.items)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(item T) {
	i, last := *h.indexOf(item)-1, len(h.items)-1
	if i < 0 {
		return
	}
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.indexOf(item) = 0
	if i < last {
		h.fix(h.items[i])
	}
}

func (h *heap[T]) fix(item T) {
	if i := *h.indexOf(item) - 1; i >= 0 && !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) init() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.indexOf(h.items[i]), *h.indexOf(h.items[j]) = i+1, j+1
}

func (h *heap[T]) up(i int) {
	for i > 0 && h.less(h.items[i], h.items[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h *heap[T]) down(parent int) (moved bool) {
	for {
		child := 2*parent + 1
		if child >= len(h.items) {
			return moved
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[parent]) {
			return moved
		}
		h.swap(parent, child)
		parent, moved = child, true
	}
}
