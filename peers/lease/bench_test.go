package lease

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkThousandLeases has 300 members hold 1,000 leases by 5 voters, in virtual time without loss, and tells what a second of it
// costs the voter that leads: CPU, messages and their bytes, synced writes.
func BenchmarkThousandLeases(b *testing.B) {
	const names, members, voters = 1000, 300, 5
	for b.Loop() {
		w := newWorld(b, voters, members-voters, 1)
		for _, p := range w.all {
			p.Drop(name)
		}
		for i := range names {
			w.all[i%members].Holder().Want(fmt.Sprint("lease-", i))
		}
		w.run(12 * time.Second)
		for _, p := range w.all[:voters] { // the one that works most
			if p.Voter().Leads() {
				w.measured = p
			}
		}
		held := 0
		for _, p := range w.all {
			for _, g := range p.Holder().Grips() {
				if g.Until > w.clock(p) {
					held++
				}
			}
		}
		if held != names {
			b.Fatalf("%d leases are held", held)
		}
		w.spent, w.sent, w.bytes, w.syncs = 0, 0, 0, 0
		const span = 10
		w.run(span * time.Second)
		b.ReportMetric(w.spent.Seconds()*1000/span, "cpu-ms/s")
		b.ReportMetric(float64(w.sent)/span, "messages/s")
		b.ReportMetric(float64(w.bytes)/span, "raw-B/s")
		b.ReportMetric(float64(w.syncs)/span, "syncs/s")
	}
}
