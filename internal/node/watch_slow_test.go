package node

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/internal/wire"
)

// lateWatch is a watch that is answered after a while, tells the list and from then on an empty line every 2 s; at a time counted from now
// it tells that an endpoint drains.
func lateWatch(r *http.Request, late, drains time.Duration) *http.Response {
	body, w := io.Pipe()
	go func() {
		defer func() { w.CloseWithError(r.Context().Err()) }()
		drain := time.NewTimer(drains)
		defer drain.Stop()
		if sleep(r.Context(), late); r.Context().Err() != nil {
			return
		}
		fmt.Fprintln(w, `{"revision":4,"complete":true,"members":[]}`)
		alive := time.NewTicker(2 * time.Second)
		defer alive.Stop()
		for {
			select {
			case <-alive.C:
				fmt.Fprintln(w)
			case <-drain.C:
				fmt.Fprintln(w, `{"revision":5,"complete":false,"members":[{"id":"e","host_port":"e","phase":"DRAINING"}]}`)
			case <-r.Context().Done():
				return
			}
		}
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: body}
}

// Guards against watches that are given up one after another since discovery takes longer to answer each than their bound.
func TestADiscoveryThatIsAlwaysSlowIsHeard(t *testing.T) {
	for _, times := range []float64{0.5, 0.9, 1.1, 3, 10} {
		t.Run(fmt.Sprint(times, " times the bound"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAgent("discovery:1", list{Revision: 3}, 2, wire.Names{}, slog.New(slog.DiscardHandler))
				a.site.dialWith(noConnection)
				late, began := time.Duration(times*float64(watchSilence)), time.Now()
				drains := late + 20*time.Second
				var watches atomic.Int32
				a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
					watches.Add(1)
					return lateWatch(r, late, drains-time.Since(began)), nil
				})
				heard := follow(t, a)
				select {
				case <-heard:
				case <-time.After(drains + drainGrace):
					t.Errorf("the drain was not heard in its grace, by %d watches", watches.Load())
				}
				if most := int32(2 + late/watchSilence); watches.Load() > most {
					t.Errorf("%d watches were opened, %d at most", watches.Load(), most)
				}
			})
		})
	}
}

// Guards against a silent watch that is kept in place of one that would be answered.
func TestASlowWatchIsHeardBesideOneThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent("discovery:1", list{Revision: 3}, 2, wire.Names{}, slog.New(slog.DiscardHandler))
		a.site.dialWith(noConnection)
		const drains = 20 * time.Second
		var watches atomic.Int32
		began := time.Now()
		a.site.client.Transport = trips(func(r *http.Request) (*http.Response, error) {
			late := 2 * watchSilence
			if watches.Add(1) == 1 {
				late = time.Hour
			}
			return lateWatch(r, late, drains-time.Since(began)), nil
		})
		heard := follow(t, a)
		select {
		case <-heard:
		case <-time.After(drains + drainGrace):
			t.Errorf("the drain was not heard in its grace, by %d watches", watches.Load())
		}
	})
}
