package recovery

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"starlingusher/delivery"
	"starlingusher/undelivered"
	"starlingusher/undelivered/rules"
)

// fill makes a folder's store with so many coin orders and payouts in turns, to eight destinations.
func fill(t testing.TB, folder string, n int, class func(i int) string) {
	t.Helper()
	o := Options{Folder: folder, Settings: testSettings(), Names: names}
	o.complete()
	store, err := openStore(&o, &rules.Set{MaxBytes: 1 << 30}, false)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	body := make([]byte, 212)
	for from := 0; from < n; from += 1000 {
		var entries []undelivered.Entry
		var bodies [][]byte
		for i := from; i < min(from+1000, n); i++ {
			entries = append(entries, undelivered.Entry{
				ID: fmt.Sprint("m", i), Key: fmt.Sprint("k", i), Class: class(i), Dest: i % 8, Deadline: now, Reason: rules.OutOfTime,
				Ended: now.Add(-time.Minute), Attempts: []rules.Attempt{{At: now.Add(-time.Minute), Endpoint: fmt.Sprint("e", i%8), Outcome: "no-answer"}},
			})
			bodies = append(bodies, body)
		}
		if err := store.Keep(entries, bodies); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

func inTurns(i int) string { return names[1+i%2] }

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A list of many entries is not held in memory.
func TestAListOfAHundredThousand(t *testing.T) {
	dir := t.TempDir()
	const n = 100_000
	fill(t, dir, n, inTurns)
	d, err := OpenFolder(Options{Folder: dir, Settings: testSettings(), Names: names})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	before, most, rows := heap(), uint64(0), 0
	if err := d.List(t.Context(), Filter{Classes: []string{"prize-payout"}}, func(r Row) error {
		if rows++; rows%10_000 == 0 {
			most = max(most, heap())
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if rows != n/2 {
		t.Errorf("%d rows", rows)
	}
	if grown := int64(most) - int64(before); grown > 4<<20 {
		t.Errorf("%d bytes held while the list was given", grown)
	}
}

// BenchmarkOf100000 lists and filters a hundred thousand entries, and opens their store.
func BenchmarkOf100000(b *testing.B) {
	dir := b.TempDir()
	fill(b, dir, 100_000, inTurns)
	info, err := os.Stat(filepath.Join(dir, storeName))
	if err != nil {
		b.Fatal(err)
	}
	open := func() *Desk {
		d, err := OpenFolder(Options{Folder: dir, Settings: testSettings(), Names: names})
		if err != nil {
			b.Fatal(err)
		}
		return d
	}
	b.Run("open", func(b *testing.B) {
		for b.Loop() {
			open().Close()
		}
		b.ReportMetric(float64(info.Size())/100_000, "disk-B/entry")
	})
	d := open()
	defer d.Close()
	for name, f := range map[string]Filter{
		"list-all": {}, "list-first-100": {Limit: 100}, "filter-one-destination": {Dests: []int{3}, Classes: []string{"prize-payout"}},
		"filter-none": {Classes: []string{"table-status"}},
	} {
		b.Run(name, func(b *testing.B) {
			rows := 0
			for b.Loop() {
				rows = 0
				if err := d.List(b.Context(), f, func(Row) error { rows++; return nil }); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(rows), "rows")
		})
	}
}

// BenchmarkResendBesideLive offers live messages at 1,000 a second for four seconds, without and with 5,000 coin orders
// that are being sent again. Both use eight destinations, each call takes 2 ms and there are 64 slots.
func BenchmarkResendBesideLive(b *testing.B) {
	for _, entries := range []int{0, 5000, 0, 5000} {
		b.Run(fmt.Sprint("entries-", entries), func(b *testing.B) {
			for range b.N {
				live(b, entries)
			}
		})
	}
}

func live(b *testing.B, entries int) {
	dir := b.TempDir()
	fill(b, dir, entries, func(int) string { return "coin-order" })
	file := filepath.Join(dir, "rules.yaml")
	if err := os.WriteFile(file, []byte(rulesText), 0o600); err != nil {
		b.Fatal(err)
	}
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].Deadline, settings.Classes[i].Aim = 6*time.Second, 2*time.Second
	}
	s, err := Open(Options{Folder: dir, Rules: file, Settings: settings, Names: names, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	var members []delivery.Member
	for i := range 8 {
		members = append(members, delivery.Member{ID: fmt.Sprint("e", i), Addr: fmt.Sprint(dir, i), Dest: i, Weight: 1000})
	}
	var mu sync.Mutex
	var lastResent time.Time
	resent := 0
	bank := &bankOf{do: func(ctx context.Context, a delivery.Attempt) delivery.Result {
		time.Sleep(2 * time.Millisecond)
		if a.ID[0] == 'm' {
			mu.Lock()
			resent++
			lastResent = time.Now()
			mu.Unlock()
		}
		return pass(ctx, a)
	}}
	e, err := delivery.Open(delivery.Config{State: dir, DiskMB: 64, Settings: settings, Seed: "1", Keeper: s,
		Known: delivery.List{Members: members}}, delivery.Front{Carrier: bank, Sink: &sink{ends: map[string]delivery.State{}}})
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Start(e); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var parts, calls sync.WaitGroup
	began := time.Now()
	parts.Go(func() { s.Run(ctx) })
	parts.Go(func() { e.Run(ctx) })
	var took []time.Duration
	refused := 0
	const offered = 4000
	tick := time.NewTicker(time.Millisecond)
	for i := range offered {
		<-tick.C
		calls.Go(func() {
			at := time.Now()
			end, err := e.Do(ctx, "", delivery.Message{ID: fmt.Sprint("live", i), Class: i % 3, Key: fmt.Sprint("l", i), Dest: i % 8,
				Came: at, Life: 6 * time.Second, Body: make([]byte, 212)})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || end.State != delivery.Delivered {
				refused++
				return
			}
			took = append(took, time.Since(at))
		})
	}
	tick.Stop()
	calls.Wait()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		done := resent >= entries
		mu.Unlock()
		if done || time.Now().After(end) {
			break
		}
	}
	mu.Lock()
	slices.Sort(took)
	ms := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))].Microseconds()) / 1000 }
	b.ReportMetric(ms(0.5), "live-p50-ms")
	b.ReportMetric(ms(0.99), "live-p99-ms")
	b.ReportMetric(float64(refused), "live-refused")
	if entries > 0 {
		b.ReportMetric(float64(resent)/lastResent.Sub(began).Seconds(), "resends/s")
	}
	mu.Unlock()
	cancel()
	parts.Wait()
}

// bankOf is a carrier that keeps no record.
type bankOf struct {
	do func(context.Context, delivery.Attempt) delivery.Result
}

func (b *bankOf) Attempt(ctx context.Context, a delivery.Attempt) delivery.Result {
	return b.do(ctx, a)
}
func (b *bankOf) HangUp(string, int) {}
func (b *bankOf) Close()             {}
