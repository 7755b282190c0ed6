package model

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// purpose keeps the streams of one entity apart.
type purpose uint64

const (
	ofArrivals purpose = iota + 1
	ofClumps
	ofWay
	ofService
	ofFate
	ofReport
	ofClient
	ofNode
	ofAsking
	ofNotice
	ofSender
)

// stream is the PCG of an entity and a purpose.
func stream(seed uint64, p purpose, entity uint64) *rand.PCG {
	return rand.NewPCG(seed, entity<<8|uint64(p))
}

// uniform is the next number of a stream, in [0, 1).
func uniform(p *rand.PCG) float64 { return float64(p.Uint64()>>11) / (1 << 53) }

// exponential is a draw with mean 1.
func exponential(p *rand.PCG) float64 { return -math.Log1p(-uniform(p)) }

// normal is a draw with mean 0 and deviation 1.
func normal(p *rand.PCG) float64 {
	return distuv.UnitNormal.Quantile(min(max(uniform(p), 1e-12), 1-1e-12))
}

// of is the service time at a quantile u.
func (p *Partner) service(u float64) time.Duration {
	x := 1.0
	switch p.Law {
	case Exponential:
		x = distuv.Exponential{Rate: 1}.Quantile(u)
	case LogNormal:
		s := math.Sqrt(math.Log1p(p.CV * p.CV))
		x = distuv.LogNormal{Mu: -s * s / 2, Sigma: s}.Quantile(min(max(u, 1e-9), 1-1e-9))
	case Uniform:
		x = 0.5 + u
	}
	return time.Duration(x * float64(p.Service))
}

// fate is the draws of one attempt of a message. They hang on who it is alone, not on what was drawn before.
type fate struct{ there, back, service, tear, answer, wait float64 }

func (r *run) fate(m *message, attempt int) fate {
	p := stream(r.seed, ofFate, m.number<<16|uint64(m.tries)<<8|uint64(attempt&0xff))
	return fate{uniform(p), uniform(p), uniform(p), uniform(p), uniform(p), uniform(p)}
}

// way is one way at a draw.
func (r *run) way(u float64) time.Duration {
	return time.Duration(float64(r.day.Net.Way) * (1 + r.day.Net.Jitter*(2*u-1)))
}
