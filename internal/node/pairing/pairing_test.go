package pairing

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// network is a server's responses on their way: those that are its requests' own, and copies of what it has sent.
type network struct {
	sent   []Response
	onWay  []Response
	copies int // on their way
	own    Response
	owed   bool // the response of the request that waits has not been sent
	hangs  bool // the server may never send it; its copies then come right behind their originals alone
}

// Guards against a copy that is taken for the response of another request, whatever comes in between, and whether or not the server hangs.
func TestNoVerdictContradictsTheTrueResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		n := network{hangs: rapid.Bool().Draw(t, "hangs")}
		taken, waits := Response{}, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if !tracker.Reusable() || waits || n.owed {
					continue
				}
				tracker.Request(len(n.onWay) == 0 && rapid.Bool().Draw(t, "rested"))
				f := uint64(rapid.IntRange(1, 4).Draw(t, "response"))
				n.own, n.owed, waits = Response{Fingerprint: f, Pass: f < 3}, true, true
			case 1:
				if n.owed {
					n.owed = false
					n.onWay, n.sent = append(n.onWay, n.own), append(n.sent, n.own)
					for n.hangs && rapid.Bool().Draw(t, "again") {
						n.onWay = append(n.onWay, n.own)
					}
				}
			case 2:
				if len(n.sent) > 0 && !n.hangs {
					n.onWay = append(n.onWay, rapid.SampledFrom(n.sent).Draw(t, "copy"))
				}
			case 3:
				if len(n.onWay) == 0 {
					continue
				}
				r := n.onWay[0]
				n.onWay = n.onWay[1:]
				switch v := tracker.Response(r); v {
				case Own, Corrected:
					if r != n.own || !waits || n.owed {
						t.Fatalf("%v: %v was taken, %v is the request's own, sent %v", v, r, n.own, !n.owed)
					}
					waits = false
				case MayBeCopy:
					taken = r
				case Ambiguous:
					waits = false
				case Surplus:
					if waits {
						t.Fatalf("a surplus while a request waits")
					}
				default:
					t.Fatalf("verdict %v", v)
				}
			case 4:
				if tracker.State() != Undecided || (n.owed && !n.hangs) || len(n.onWay) > 0 {
					continue // the connection is not quiet
				}
				if tracker.Quiet() && (taken != n.own || n.owed) {
					t.Fatalf("quiet: %v was taken, %v is the request's own, sent %v", taken, n.own, !n.owed)
				}
				waits = false
			}
			if tracker.State() == OutOfStep {
				return
			}
		}
	})
}

// Guards against a request on a connection that was not quiet, whose responses then count as certain.
func TestAfterALooseRequestNothingIsCertain(t *testing.T) {
	pass, other := Response{Fingerprint: 1, Pass: true}, Response{Fingerprint: 2}
	var tracker Tracker
	var got []Verdict
	for _, r := range []Response{pass, pass, other} {
		tracker.Request(true)
		got = append(got, tracker.Response(r))
	}
	if want := []Verdict{Own, MayBeCopy, MayBeCopy}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if tracker.Quiet() || tracker.Reusable() || tracker.OnlyPasses() {
		t.Errorf("quiet has proven the response of a loose request: %+v", tracker)
	}
}

// Guards against silence that is taken for a proof where a copy of the response before may still have been on its way.
func TestQuietProvesOnlyWhatWentOutOnAQuietConnection(t *testing.T) {
	pass := Response{Fingerprint: 1, Pass: true}
	for _, rested := range []bool{false, true} {
		var tracker Tracker
		tracker.Request(true)
		tracker.Response(pass)
		tracker.Request(rested)
		if v := tracker.Response(pass); v != MayBeCopy {
			t.Errorf("rested %v: %v", rested, v)
		}
		if proven := tracker.Quiet(); proven != rested || tracker.Reusable() != rested {
			t.Errorf("rested %v: proven %v, %v", rested, proven, tracker.State())
		}
	}
}

// Guards against a server that has its caller read responses without end.
func TestResponsesThatComeAgainEndTheirConnection(t *testing.T) {
	pass := Response{Fingerprint: 1, Pass: true}
	foreign := Response{Fingerprint: 1, Pass: true, Foreign: true}
	for name, more := range map[string]Response{"equal": pass, "of other messages": foreign} {
		var tracker Tracker
		tracker.Request(true)
		tracker.Response(pass)
		tracker.Request(true)
		n := 0
		for tracker.State() != OutOfStep && n < 100 {
			n++
			tracker.Response(more)
		}
		if n > MostCopies+2 {
			t.Errorf("%s: %d responses were read", name, n)
		}
	}
}

// Guards against taking the response to other messages for that of a call, and against believing one that can't be told apart.
func TestForeignAndOpaqueResponses(t *testing.T) {
	var tracker Tracker
	tracker.Request(true)
	tracker.Response(Response{Fingerprint: 1, Pass: true})
	tracker.Request(true)
	if v := tracker.Response(Response{Fingerprint: 1, Pass: true, Foreign: true}); v != Skipped || tracker.State() != Waiting {
		t.Errorf("foreign: %v, %v", v, tracker.State())
	}
	if v := tracker.Response(Response{Fingerprint: 2, Pass: true}); v != Own || tracker.Reusable() {
		t.Errorf("after a foreign one: %v, reusable %v", v, tracker.Reusable())
	}
	var opaque Tracker
	for i, want := range []Verdict{Own, MayBeCopy} {
		opaque.Request(true)
		if v := opaque.Response(Response{}); v != want {
			t.Errorf("opaque %d: %v, want %v", i, v, want)
		}
		opaque.Quiet()
	}
	opaque.Request(true)
	opaque.Withdraw()
	if opaque.State() != InStep {
		t.Errorf("withdrawn: %v", opaque.State())
	}
}

// Guards against a response that asks for its connection's end proving more than the order of responses does, whatever copies come in between.
func TestAMarkedResponseProvesThoseBeforeItByTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pass := func(label string) Response {
			return Response{Fingerprint: uint64(rapid.IntRange(1, 2).Draw(t, label)), Pass: true}
		}
		first, second, last := pass("first"), pass("second"), Response{Fingerprint: 9, Pass: true, Final: true}
		onWay := []Response{}
		said := []Response{first}
		for _, next := range []Response{second, last} {
			for rapid.Bool().Draw(t, "copy") {
				onWay = append(onWay, rapid.SampledFrom(said).Draw(t, "of"))
			}
			onWay, said = append(onWay, next), append(said, next)
		}
		var tracker Tracker
		tracker.Request(true)
		tracker.Response(first)
		tracker.Request(false)
		taken := onWay[0]
		if tracker.Response(taken) != MayBeCopy {
			return // it is certain, or nothing can be told
		}
		tracker.Request(false)
		tracker.Mark()
		for i, r := range onWay[1:] {
			switch v := tracker.Response(r); v {
			case Own:
				if r != last || (i == 0 && taken != second) {
					t.Fatalf("%v proves %v, the second response is %v", r, taken, second)
				}
				return
			case Corrected:
				if r != last {
					t.Fatalf("%v was taken for the last one", r)
				}
				return
			case Ambiguous:
				return
			}
		}
	})
}
