package recovery

import (
	"errors"
	"maps"
	"time"

	"starlingusher/delivery"
	"starlingusher/undelivered"
	"starlingusher/undelivered/rules"
)

const (
	maxOut      = 48   // further lives under way, fewer than the engine takes
	maxPerDest  = 8    // of them at one destination, so that a silent one leaves room to others
	maxQueue    = 4096 // entries that a scan holds on to
	maxPerQueue = 512  // of them for one destination
	scanPause   = 200 * time.Millisecond
	scanShare   = 20 // a scan comes after so many times its own duration
	horizon     = time.Minute
	longestNap  = time.Minute
	refusedNap  = 100 * time.Millisecond
	rewriteNap  = time.Second
	unsentNap   = time.Second // after a further life whose time went by without a turn
	failedNap   = time.Minute // after an answer that coming again won't change soon
	expireEvery = 10 * time.Minute
)

// round sends what may be sent now, and returns for how long to sleep.
func (s *Service) round() time.Duration {
	s.expire(s.o.Now())
	nap := longestNap
	s.writing.Lock()
	if s.rewrite() != nil {
		nap = rewriteNap
	}
	s.writing.Unlock()
	now := s.o.Now() // what was written meanwhile is not later
	sooner := func(at time.Time) {
		if !at.IsZero() {
			nap = min(nap, max(at.Sub(now), 0))
		}
	}
	s.mu.Lock()
	due := s.dirty || (!s.rescan.IsZero() && !now.Before(s.rescan))
	s.mu.Unlock()
	if due {
		next := s.scanned.Add(max(scanPause, scanShare*s.took))
		if now.Before(next) && !now.Before(s.scanned) {
			sooner(next)
		} else {
			s.scan(now)
		}
	}
	sooner(s.rescan)
	sooner(s.send(now))
	return nap
}

// scan finds what may be sent soon.
func (s *Service) scan(now time.Time) {
	s.mu.Lock()
	s.dirty = false
	set := s.set
	s.mu.Unlock()
	began := time.Now()
	clear(s.queue)
	maps.DeleteFunc(s.rests, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	s.rescan = time.Time{}
	perDest := map[int]int{}
	more := false
	err := s.store.Each(0, func(e undelivered.Entry) bool {
		if e.State != undelivered.Waiting {
			return true
		}
		r, ok := s.store.Rule(&e)
		if !ok {
			return true
		}
		switch v := set.Judge(&r, time.Time{}, now); {
		case !v.Send && v.At.IsZero():
		case !v.Send && v.At.Sub(now) > horizon:
			s.rescanBy(v.At)
		case now.Before(s.rests[r.Number]):
			s.rescanBy(s.rests[r.Number])
		case len(s.queue) >= maxQueue || perDest[r.Dest] >= maxPerQueue:
			more = true
		default:
			s.queue[r.Number] = &r
			perDest[r.Dest]++
		}
		return len(s.queue) < maxQueue
	})
	if err != nil {
		s.o.Log.Error("undelivered messages can't be read", "err", err)
		s.rescan = now.Add(failedNap)
	}
	if s.scanned, s.took = s.o.Now(), time.Since(began); more || len(s.queue) >= maxQueue {
		s.rescan = now.Add(max(scanPause, scanShare*s.took))
	}
}

// send hands the engine what the rules let go now, and returns when to look again.
func (s *Service) send(now time.Time) (again time.Time) {
	for {
		s.mu.Lock()
		set, room := s.set, maxOut-len(s.lives)
		open := make([]rules.Entry, 0, len(s.queue))
		for _, e := range s.queue {
			if s.out[e.Dest] >= maxPerDest {
				continue // an end there wakes the service
			}
			if until := s.blocked[e.Dest]; now.Before(until) {
				if again.IsZero() || until.Before(again) {
					again = until
				}
				continue
			}
			open = append(open, *e)
		}
		s.mu.Unlock()
		if room <= 0 || len(open) == 0 {
			return again
		}
		send, next := set.Plan(open, s.last, room, now)
		if !next.IsZero() && (again.IsZero() || next.Before(again)) {
			again = next
		}
		sent := 0
		for _, n := range send {
			e := s.queue[n]
			s.mu.Lock()
			full := s.out[e.Dest] >= maxPerDest || now.Before(s.blocked[e.Dest])
			s.mu.Unlock()
			if full {
				continue
			}
			if s.resend(e, now) {
				sent++
			}
		}
		if sent == 0 {
			return again
		}
	}
}

// resend begins a further life of an entry, and tells whether the engine has taken it.
func (s *Service) resend(r *rules.Entry, now time.Time) bool {
	e, err := s.store.Begin(r.Number, r.Granted)
	if err != nil {
		delete(s.queue, r.Number)
		if !errors.Is(err, undelivered.ErrMoved) && !errors.Is(err, undelivered.ErrUnknown) {
			s.o.Log.Error("an undelivered message can't be sent again", "entry", r.Number, "err", err)
			s.block(r.Dest, now.Add(failedNap))
		}
		return false // somebody was faster, and has been told that he was
	}
	a := s.hand(r, &e, s.o.Now()) // each one before took its time
	if !a.Refused && a.Failed == "" {
		delete(s.queue, r.Number)
		return true
	}
	if a.Failed != "" { // this says nothing of the other entries of its destination
		s.o.Log.Warn("an undelivered message is not taken", "entry", r.Number, "id", e.ID, "why", a.Failed)
		delete(s.queue, r.Number)
		s.rests[r.Number] = now.Add(failedNap)
		s.rescanBy(s.rests[r.Number])
	}
	s.over(e.Ref())
	if err := s.store.Back(r.Number); err != nil {
		s.o.Log.Error("a resend can't be taken back before the next start", "entry", r.Number, "err", err)
	}
	s.block(r.Dest, now.Add(max(refusedNap, a.After)))
	return false
}

// rescanBy has the store scanned again at a time, if that is not done before.
func (s *Service) rescanBy(at time.Time) {
	if s.rescan.IsZero() || at.Before(s.rescan) {
		s.rescan = at
	}
}

// block has nothing sent again to a destination before a time.
func (s *Service) block(dest int, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.blocked[dest]) {
		s.blocked[dest] = until
	}
}

// hand gives the engine an entry with its past. A person's word gives one that the rules never offer a life without.
func (s *Service) hand(r *rules.Entry, e *undelivered.Entry, now time.Time) delivery.Answer {
	s.begin(e.Ref(), e.Dest)
	standing, _, why := rules.Stand(r, now)
	if standing != rules.Free && !r.Granted {
		return delivery.Answer{Failed: why}
	}
	body, err := s.store.Body(e.Number)
	if err != nil {
		return delivery.Answer{Failed: err.Error()}
	}
	l := delivery.Life{First: e.Deadline, Message: delivery.Message{
		ID: e.ID, Key: e.Key, Body: body, Dest: e.Dest, Came: now, Life: life, Class: -1,
	}}
	if e.Tenant <= len(s.o.Settings.Tenants) {
		l.Tenant = e.Tenant // one that has left the settings holds nothing up
	}
	for i, c := range s.o.Settings.Classes {
		if i < len(s.o.Names) && s.o.Names[i] == e.Class {
			if l.Class = i; c.Deadline > 0 {
				l.Message.Life = c.Deadline
			}
		}
	}
	if a, _, ran := r.MayHaveRun(); ran && standing == rules.Free {
		l.MayRun, l.Zone = a.At, a.Zone
	}
	return s.engine.Resend(e.Front, l)
}

// expire evicts what is older than the operators keep it.
func (s *Service) expire(now time.Time) {
	age := s.rules().MaxAge
	if age <= 0 || (now.Sub(s.expired) < expireEvery && !now.Before(s.expired)) {
		return
	}
	s.expired = now
	if gone, err := s.store.Expire(now.Add(-age)); err != nil {
		s.o.Log.Error("old undelivered messages can't be evicted", "err", err)
	} else if gone > 0 {
		s.o.Log.Info("old undelivered messages evicted", "count", gone, "age", age)
	}
}
