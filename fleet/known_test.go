package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What is known is over when its time is, and then all is as if nothing had been told; until then it is never more than what is
// told, and others' passes bring a trial nearer and never farther.
func TestKnownIsOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
		}
		k := Known{Share: rapid.Float64Range(0, 1).Draw(t, "share"), ShareTil: span("share til"), LeastTil: span("least til"), DebtTil: span("debt til"), OutTil: span("out til"),
			SpareTil: span("spare til"), BackFrom: span("back")}
		k.Least = rapid.Float64Range(0, k.Share).Draw(t, "least")
		now, struck, due := span("now"), span("struck"), span("due")
		var alone Part
		alone.Refused(now, rapid.IntRange(1, 300).Draw(t, "n"), rapid.Float64Range(0, 1).Draw(t, "own"))
		got := k.Part(now, &alone)
		over := now >= k.ShareTil && now >= k.LeastTil
		most := k.Share
		if now >= k.ShareTil {
			most = k.Least
		}
		switch {
		case over && got != alone.Share():
			t.Fatalf("%v of a share that is over, %v alone", got, alone.Share())
		case !over && got > most:
			t.Fatalf("%v of a share of %v", got, most)
		}
		if cold := k.Cold(now, 7, 100); over && cold != 7 || !over && cold > 100*most {
			t.Fatalf("%v calls a second", cold)
		}
		if k.Out(now) != (now < k.OutTil) || k.Spared(now) != (now < k.SpareTil) {
			t.Fatal("out or spared")
		}
		trial := k.Trial(now, struck, due, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if trial > due || trial < due && (k.BackFrom <= struck || trial > now+soon) {
			t.Fatalf("a trial that was due at %v is at %v, now is %v", due, trial, now)
		}
		if since := k.Since(now, struck); since > now || since != now && since != k.BackFrom {
			t.Fatalf("back since %v", since)
		}
		by := span("by")
		s := k.Shift(by)
		if s.Shift(-by) != k || k.ShareTil > 0 && s.Shared(now+by) != k.Shared(now) {
			t.Fatalf("%+v shifted by %v is %+v", k, by, s)
		}
	})
}

// A quota takes its part of the rate and two seconds of it at once, over any pauses.
func TestQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, rate := rapid.IntRange(1, 300).Draw(t, "n"), rapid.Float64Range(0.1, 100).Draw(t, "rate")
		var q Quota
		now, taken := time.Duration(0), 0.0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			if q.Take(now, n, rate) {
				taken++
			}
		}
		if most := rate/float64(n)*(now.Seconds()+2) + 1; taken > most+1e-6 {
			t.Fatalf("%v in %v, %v at most", taken, now, most)
		}
	})
}
