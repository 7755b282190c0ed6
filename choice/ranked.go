package choice

import "container/heap"

// ranked is a heap, for container/heap, of items that know their places in it: one that goes, or whose rank has changed,
// costs no search.
type ranked[T any] struct {
	all    []T
	before func(a, b T) bool
	place  func(T) *int // -1 for an item that is not in it
}

func (r *ranked[T]) Len() int           { return len(r.all) }
func (r *ranked[T]) Less(i, j int) bool { return r.before(r.all[i], r.all[j]) }

func (r *ranked[T]) Swap(i, j int) {
	r.all[i], r.all[j] = r.all[j], r.all[i]
	*r.place(r.all[i]), *r.place(r.all[j]) = i, j
}

// Push is heap.Interface's.
func (r *ranked[T]) Push(x any) {
	*r.place(x.(T)) = len(r.all)
	r.all = append(r.all, x.(T))
}

// Pop is heap.Interface's.
func (r *ranked[T]) Pop() any {
	last := len(r.all) - 1
	x := r.all[last]
	var none T
	r.all[last] = none
	r.all = r.all[:last]
	*r.place(x) = -1
	return x
}

// add puts an item in, remove takes it out if it is there, and fix moves it to where its rank now is.
func (r *ranked[T]) add(x T) { heap.Push(r, x) }

func (r *ranked[T]) remove(x T) {
	if i := *r.place(x); i >= 0 {
		heap.Remove(r, i)
	}
}

func (r *ranked[T]) fix(x T) {
	if i := *r.place(x); i >= 0 {
		heap.Fix(r, i)
	}
}
