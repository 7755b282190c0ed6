package fleet

import "time"

// Quota is one sender's part of a rate that is promised to somebody over all n senders, as a tenant's share of the service. It
// saves up two seconds of its part. The zero value has one call saved up once Take brings it up to now.
type Quota struct {
	tokens float64
	at     time.Duration
}

// Take counts one request and tells whether it is inside the part, of so many a second over all n senders.
func (q *Quota) Take(now time.Duration, n int, perSecond float64) bool {
	rate := perSecond / float64(max(n, 1))
	q.tokens = min(q.tokens+rate*(now-q.at).Seconds(), 2*rate+1)
	q.at = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}
