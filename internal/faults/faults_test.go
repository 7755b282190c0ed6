package faults

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"
)

// program is built once for all tests.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "coralyard-faults-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "coralyard")
	build := exec.Command("go", "build", "-o", program, "starlingusher/cmd/coralyard")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// options of a round: 5 to 9 nodes, more asked for than the limit.
func options(t *testing.T, seed uint64) Options {
	folder := t.TempDir()
	if kept := os.Getenv("CORALYARD_FOLDER"); kept != "" { // where logs are to stay
		folder = filepath.Join(kept, fmt.Sprint("seed", seed))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return Options{
		Program: program, Folder: folder, Nodes: 5 + int(seed%5), Seed: seed, Limit: 60, Rate: 20, Period: 100 * time.Millisecond, Term: 800 * time.Millisecond,
	}
}

// Whatever is done to ways and processes: the rules are kept, the nodes that hear each other keep within the limit together, nothing
// is lost, and once all is well again they agree. CORALYARD_ROUNDS asks for more rounds, CORALYARD_SEED for other ones.
func TestRounds(t *testing.T) {
	rounds, seed := number("CORALYARD_ROUNDS", 8), uint64(number("CORALYARD_SEED", 1))
	const length = 5 * time.Second
	side := make(chan struct{}, 3)
	var mu sync.Mutex
	var healed []time.Duration
	t.Run("all", func(t *testing.T) {
		for i := range rounds {
			t.Run(fmt.Sprint("seed ", seed+uint64(i)), func(t *testing.T) {
				t.Parallel()
				side <- struct{}{}
				defer func() { <-side }()
				o := options(t, seed+uint64(i))
				steps := Draw(o.Seed, o.Nodes, length)
				h, took, err := Round(t.Context(), o, steps, length)
				if err != nil {
					for _, s := range steps {
						t.Log(s)
					}
					if h != nil {
						t.Log(h.Summary())
					}
					t.Fatal(err)
				}
				t.Logf("%s; agreed %v after", h.Summary(), took.Round(time.Millisecond))
				mu.Lock()
				healed = append(healed, took)
				mu.Unlock()
			})
		}
	})
	t.Logf("%d rounds", len(healed))
}

// A calm fleet agrees, and goes by its rights.
func TestCalm(t *testing.T) {
	h, _, err := Round(context.Background(), options(t, 3), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(h.Summary())
}
