package delivery

import (
	"errors"
	"fmt"
	"sync"
)

// ErrPartnersTaken says that another engine of this process calls one of the endpoints. Two would each keep the
// partner's rate, waits and cold starts for themselves, and overrun it together: give both fronts to one engine.
var ErrPartnersTaken = errors.New("another engine of this process calls this endpoint; give both fronts to one engine")

// claims says which engine of this process calls which address. It is the one thing that the engines of a process
// share, and process-wide because the rule is: whatever engines hold by their own, the second could not know it.
var claims = struct {
	sync.Mutex
	by map[string]*claim
}{by: map[string]*claim{}}

type claim struct {
	engine *Engine
	times  int // endpoints of one engine may share an address
}

// claimAll takes all the addresses of an endpoint for the engine, or none.
func claimAll(n *Engine, addrs []string) error {
	claims.Lock()
	defer claims.Unlock()
	for _, a := range addrs {
		if c := claims.by[a]; c != nil && c.engine != n {
			return fmt.Errorf("%s: %w", a, ErrPartnersTaken)
		}
	}
	for _, a := range addrs {
		c := claims.by[a]
		if c == nil {
			c = &claim{engine: n}
			claims.by[a] = c
		}
		c.times++
	}
	return nil
}

func releaseAll(addrs []string) {
	claims.Lock()
	defer claims.Unlock()
	for _, a := range addrs {
		if c := claims.by[a]; c != nil {
			if c.times--; c.times == 0 {
				delete(claims.by, a)
			}
		}
	}
}

// claimedAddrs are those that an endpoint is called at.
func (e *Endpoint) claimedAddrs() []string {
	all := make([]string, 0, 1+len(e.addrs))
	if e.Addr != "" {
		all = append(all, e.Addr)
	}
	for _, a := range e.addrs {
		if a != e.Addr {
			all = append(all, a)
		}
	}
	return all
}
