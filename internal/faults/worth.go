package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"starlingusher/internal/standin"
)

// Worth is what a fleet got done at a partner whose limit refused calls use up, and which is out for a while.
type Worth struct {
	Taken, Delivered int // messages
	Calls, Refused   int // calls, and those turned away over the limit
	Trials           int // calls while it was out, after the first second of that
	Timely           int // messages delivered within their aim
	Watches          int // of discovery that are open at the end
}

// debtor is a partner with a bucket that each call takes from, refused or not, down to a debt.
type debtor struct {
	mu     sync.Mutex
	limit  float64
	tokens float64
	at     time.Time
	out    [2]time.Time
	worth  Worth
	handed map[string]time.Time
	first  map[string]time.Time
}

const (
	depth = 0.3 // seconds of the limit that may go at once
	debt  = 0.6 // and to be in debt for
	aim   = time.Second
)

func (d *debtor) answer(c standin.Call) standin.Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.worth.Calls++
	if now.After(d.out[0]) && now.Before(d.out[1]) {
		if now.After(d.out[0].Add(time.Second)) {
			d.worth.Trials++
		}
		return standin.Step{Fault: standin.Silent}
	}
	d.tokens = min(d.tokens+d.limit*now.Sub(d.at).Seconds(), depth*d.limit)
	d.at = now
	load := map[string]float64{"x0": max(d.tokens, 0) / (depth * d.limit), "x1": d.limit}
	d.tokens = max(d.tokens-1, -debt*d.limit)
	if d.tokens < 0 {
		d.worth.Refused++
		return standin.Step{Fault: standin.Limit, Wait: 0, Load: load}
	}
	if d.first[c.ID].IsZero() {
		d.first[c.ID] = now
	}
	return standin.Step{Delay: 5 * time.Millisecond, Load: load}
}

// Measure plays a while with a partner that is out in the middle of it, and counts.
func Measure(ctx context.Context, o Options, length time.Duration) (Worth, error) {
	d := &debtor{limit: o.Limit, tokens: depth * o.Limit, at: time.Now(), handed: map[string]time.Time{}, first: map[string]time.Time{}}
	o.Answer = d.answer
	f, err := Start(ctx, o)
	if err != nil {
		return Worth{}, err
	}
	defer f.Close()
	if !o.Silent {
		if _, err := f.Agree(ctx); err != nil {
			return Worth{}, err
		}
	}
	begun := time.Now()
	d.mu.Lock()
	d.out = [2]time.Time{begun.Add(length / 2), begun.Add(length/2 + length/5)}
	d.mu.Unlock()
	load, stop := context.WithTimeout(ctx, length)
	defer stop()
	f.handed = func(id string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.handed[id] = time.Now()
	}
	f.Load(load)
	if err := f.Ends(ctx); err != nil {
		return Worth{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.worth
	w.Watches = f.discovery.Open()
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for node, numbers := range f.history.took {
		for _, number := range numbers {
			w.Taken++
			id := fmt.Sprintf("%s-%d", nodeName(node), number)
			if at := d.first[id]; !at.IsZero() {
				w.Delivered++
				if at.Sub(d.handed[id]) <= aim {
					w.Timely++
				}
			}
		}
	}
	return w, nil
}
