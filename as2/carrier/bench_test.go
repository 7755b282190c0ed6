package carrier

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"starlingusher/as2"
	"starlingusher/as2/ledger"
	"starlingusher/delivery"
	"starlingusher/internal/standin/as2bank"
)

// benchRig is a bank that signs with P-256, and a carrier to it.
func benchRig(b *testing.B, async bool, hold <-chan struct{}) (*Carrier, *as2bank.Bank) {
	b.Helper()
	k, err := as2bank.NewKeys(true, "us", "bank", "other")
	if err != nil {
		b.Fatal(err)
	}
	bank, err := as2bank.New("Bank One", "us", k[0].Cert, k[1], k[2])
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(bank.Close)
	bank.Do(func(string) as2bank.Step { return as2bank.Step{Hold: hold} })
	book, err := ledger.Open(filepath.Join(b.TempDir(), "as2.db"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { book.Close() })
	partner := as2.Partner{ID: "Bank One", Certs: bank.Partner().Certs, Sign: true, Digest: as2.SHA256}
	receipt := as2.Receipt{Want: true, Signed: true, Digest: as2.SHA256}
	c := New(Options{Front: "as2", Self: "us", Key: k[0], Ledger: book, Limits: as2.DefaultLimits()})
	if async {
		srv := receiver(b, c, partner)
		receipt.AsyncTo = srv
	}
	c.o.Links = map[int]Link{7: {Partner: partner, Path: "/as2", ContentType: "application/xml", Receipt: receipt}}
	return c, bank
}

func send(c *Carrier, b *testing.B, bank *as2bank.Bank, id string) delivery.Result {
	return c.Attempt(b.Context(), delivery.Attempt{ID: id, Ref: delivery.Ref{ID: id, Deadline: deadline}, Dest: 7, Body: make([]byte, 1024),
		Endpoint: delivery.NewEndpoint("e", bank.Addr()), NotPast: time.Now().Add(time.Minute)})
}

// BenchmarkPayout sends payouts of 1 KiB, signed with P-256, 16 at a time, bank and node in one process.
func BenchmarkPayout(b *testing.B) {
	for _, async := range []bool{false, true} {
		b.Run(fmt.Sprintf("async=%v", async), func(b *testing.B) {
			c, bank := benchRig(b, async, nil)
			ids := make(chan int)
			var callers sync.WaitGroup
			for range 16 {
				callers.Go(func() {
					for i := range ids {
						if r := send(c, b, bank, fmt.Sprint("m", i)); !r.Closed || r.Refused {
							b.Errorf("got %+v", r)
						}
					}
				})
			}
			b.ResetTimer()
			for i := range b.N {
				ids <- i
			}
			close(ids)
			callers.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "payouts/s")
		})
	}
}

// BenchmarkOutstanding holds so many receipts back, and tells what the attempts that wait for them take.
func BenchmarkOutstanding(b *testing.B) {
	const outstanding = 10_000
	hold := make(chan struct{})
	c, bank := benchRig(b, true, hold)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	gate, callers := make(chan struct{}, 64), sync.WaitGroup{}
	for i := range outstanding {
		gate <- struct{}{}
		callers.Go(func() {
			id := fmt.Sprint("m", i)
			go func() { // the next may begin once this one is at the bank
				for !bank.Came(c.MessageID(delivery.Ref{ID: id, Deadline: deadline})) {
					time.Sleep(time.Millisecond)
				}
				<-gate
			}()
			if r := send(c, b, bank, id); !r.Closed {
				b.Errorf("got %+v", r)
			}
		})
	}
	for len(gate) > 0 {
		time.Sleep(time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/outstanding, "B/receipt")
	close(hold)
	callers.Wait()
}
