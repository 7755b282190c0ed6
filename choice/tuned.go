package choice

import "time"

// tuned holds the tuned values of the decisions, one a line: its default, the range over which the laboratory varies it, and
// why it is there. A node has the defaults; nothing sets them from outside.
type tuned struct {
	GateUpper        float64       `tune:"80 40..160"`                  // Gate: the paper's upper bound of the response ratio, best at BBC 60-80,
	GateLower        float64       `tune:"60 30..80"`                   // and the lower one
	DeadlineShut     float64       `tune:"0.5 0.25..0.9"`               // shares of the deadline act where the ratio can't before messages expire: shut above,
	DeadlineOpen     float64       `tune:"0.3333333333333333 0.1..0.5"` // and open below
	Smoothing        float64       `tune:"0.2 0.05..0.5"`               // weight of a sample when they come often
	SmoothSpan       time.Duration `tune:"2s 500ms..8s"`                // after a silence this long a sample weighs more
	BaselineSpan     time.Duration `tune:"120s 30s..600s"`              // the baseline grows by a factor e in this time
	FailCharge       float64       `tune:"1 0.25..2"`                   // aims that a failed attempt counts for at least: it reads ill, and must not shut the gate alone
	FloorResponse    time.Duration `tune:"5ms 1ms..20ms"`               // keeps ratios finite
	GateTrial        time.Duration `tune:"500ms 100ms..2s"`             // pause between trial messages of a shut, idle gate
	ShutWait         time.Duration `tune:"2200ms 1s..5s"`               // Health: a told wait longer than any limit's span means shut
	TrialFirst       time.Duration `tune:"250ms 50ms..1s"`              // half-open trials: first pause,
	TrialLast        time.Duration `tune:"1s 250ms..4s"`                // and the longest, a fraction of the outages worth noticing
	SickCount        float64       `tune:"3 2..6"`                      // failures in a row that make an outage where they are rare,
	SickSpan         time.Duration `tune:"2s 500ms..5s"`                // one less if none passed for so long,
	SuspectSpan      time.Duration `tune:"500ms 100ms..1s"`             // a pass so soon after a first failure leaves no room for an outage
	RefusedSpan      time.Duration `tune:"2s 500ms..5s"`                // another refusal so long after the first, with no pass between, may be a shut server's
	LoweredSpan      time.Duration `tune:"10s 2s..30s"`                 // refusals so soon after a limit was lowered are explained by it
	RareCalls        float64       `tune:"0.5 0.1..2"`                  // or where we have so few calls in that time
	KnowingShare     float64       `tune:"0.9 0.5..1"`                  // of what a cold server can do, where senders that talk divide it
	EvenPart         float64       `tune:"0.25 0..1"`                   // of what all may send on the way back, to all senders alike,
	DemandPart       float64       `tune:"0.36 0..1"`                   // by what a sender was handed since the outage began,
	DemandPrior      time.Duration `tune:"3s 2s..10s"`                  // added to the time of that demand: its first message came by chance, and would read as a high rate
	FlowPart         float64       `tune:"0.56 0..1"`                   // and by what passed before; with a demand as large as the capacity they sum up to one
	RoughWeight      float64       `tune:"1.5 1..2"`                    // a rough weight may be this many times too high
	CrowdedSpan      time.Duration `tune:"30s 5s..120s"`                // Connections: idle ones are given back so long after a sign of a full table
	WornSpan         time.Duration `tune:"10s 2s..60s"`                 // kept ones are not trusted so long after one broke under a call
	SlowFactor       float64       `tune:"5 2..15"`                     // Slots: a call older than so many usual times makes its destination slow,
	SlowLeast        time.Duration `tune:"700ms 200ms..2s"`             // but not before this, or noise would
	LostFactor       float64       `tune:"10 3..30"`                    // at so many usual times an answer may have been lost, not just late,
	LostLeast        time.Duration `tune:"350ms 100ms..2s"`             // and not before this
	SlotSpan         time.Duration `tune:"2s 500ms..8s"`                // slot time fades from memory in this span
	SendCharge       time.Duration `tune:"10ms 0s..100ms"`              // slot time booked at once, so that sends of one moment take turns
	SlowShare        float64       `tune:"0.4 0.1..0.9"`                // share of the slots that all slow destinations together may hold
	SpareShare       float64       `tune:"0.125 0.05..0.5"`             // spare messages take this share of the slots,
	SpareRoom        float64       `tune:"0.5 0.25..0.9"`               // while half of them are free, and wait for half a burst
	SpareTrial       time.Duration `tune:"2s 500ms..8s"`                // pause between those that a shut gate lets through
	DemandSpan       time.Duration `tune:"10s 2s..30s"`                 // Pacing: this sender's own demand is what arrived of late
	BurstSpan        float64       `tune:"0.25 0.05..1"`                // seconds of pace that may go at once
	ItemWeight       float64       `tune:"0.25 0.05..1"`                // of a further message in a call to a cold one, in calls
	RefusedRest      time.Duration `tune:"120ms 30ms..500ms"`           // first rest after a refusal that told no wait
	Lowered          float64       `tune:"0.6 0.3..0.9"`                // a limit at this share of what it was has changed; less is noise
	TimeoutFactor    float64       `tune:"6 3..15"`                     // Attempts: time-out in usual times, where a repeat is allowed,
	TimeoutGrow      float64       `tune:"1.5 1..3"`                    // growing with each failure in a row, lest a slow one never pass
	TimeoutLeast     float64       `tune:"0.5 0.2..1"`                  // and this share of the aim at least: a repeat still fits in it,
	TimeoutAims      float64       `tune:"2 1..4"`                      // and at most so many aims
	RetryRest        time.Duration `tune:"100ms 20ms..500ms"`           // rest of a message after a failure, doubled each time
	DrawPower        float64       `tune:"2 0..4"`                      // odds of an endpoint fall with this power of its response
	SweepEvery       time.Duration `tune:"10ms 5ms..50ms"`              // wakes are this far apart at least,
	PollEvery        time.Duration `tune:"30ms 10ms..100ms"`            // and this far while something waits
	EndMargin        time.Duration `tune:"15ms 5ms..50ms"`              // final answers are given this long before the deadline
	LeaveRoom        float64       `tune:"2 1..6"`                      // Leaving: one that may be repeated goes out with room for so many usual times,
	LeaveRoomUnsafe  float64       `tune:"6 2..12"`                     // one that may not for more: what is cut off may have run
	LeaveLeast       time.Duration `tune:"300ms 100ms..1s"`             // and at least this,
	LeaveLeastUnsafe time.Duration `tune:"1s 300ms..3s"`                // or this
	ForgetAfter      time.Duration `tune:"2m 30s..10m"`                 // a destination without any endpoint is forgotten after this time
}
