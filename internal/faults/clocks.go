package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"go/build"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// clockVariable tells a process of a Skewed program how its clocks go: seconds that its wall clock is ahead, its rates' parts in a
// thousand above true time, and after how many milliseconds its wall clock is stepped by how many seconds.
const clockVariable = "CORALYARD_RIG_CLOCK"

// skew goes into package time of a Skewed program.
const skew = `package time

import "syscall"

var skew = skewed()

func skewed() (numbers [4]int64) {
	text, _ := syscall.Getenv("` + clockVariable + `")
	i, sign := 0, int64(1)
	for _, c := range []byte(text) {
		switch {
		case c == ' ':
			numbers[i] *= sign
			i, sign = i+1, 1
		case c == '-':
			sign = -1
		case c >= '0' && c <= '9':
			numbers[i] = numbers[i]*10 + int64(c-'0')
		}
	}
	numbers[i] *= sign
	return numbers
}

func skewWall(mono int64) int64 {
	if skew[3] != 0 && mono-startNano >= skew[2]*1000000 {
		return skew[0] + skew[3]
	}
	return skew[0]
}

func skewMono(mono int64) int64 { return mono + (mono-startNano)/1000*skew[1] }
`

// clockOverlay has the clocks of a program set off as its environment says. What sleeps sleeps for true time; what looks at a clock
// sees another.
func clockOverlay(root string) (map[string]string, error) {
	at := filepath.Join(root, "src", "time")
	source, err := os.ReadFile(filepath.Join(at, "time.go"))
	if err != nil {
		return nil, err
	}
	text := string(source)
	for _, change := range [][2]string{
		{"sec, nsec, mono := runtimeNow()\n\tif mono == 0 {", "sec, nsec, mono := runtimeNow()\n\tsec, mono = sec+skewWall(mono), skewMono(mono)\n\tif mono == 0 {"},
		{"subMono(runtimeNano()-startNano, t.ext)", "subMono(skewMono(runtimeNano())-startNano, t.ext)"},
		{"subMono(t.ext, runtimeNano()-startNano)", "subMono(t.ext, skewMono(runtimeNano())-startNano)"},
	} {
		if !strings.Contains(text, change[0]) {
			return nil, fmt.Errorf("faults: this Go's package time has no line %q", change[0])
		}
		text = strings.ReplaceAll(text, change[0], change[1])
	}
	return map[string]string{filepath.Join(at, "time.go"): text, filepath.Join(at, "skew.go"): skew}, nil
}

// Skewed builds the program with clocks that can be set off, without any privilege: by an overlay of the standard library.
func Skewed(ctx context.Context, folder string) (program string, err error) {
	return buildOverlaid(ctx, folder, clockOverlay)
}

// Failing builds the program with clocks that can be set off and system calls that can fail, likewise.
func Failing(ctx context.Context, folder string) (program string, err error) {
	return buildOverlaid(ctx, folder, clockOverlay, callOverlay)
}

// Build builds the program into a folder, and returns its path.
func Build(ctx context.Context, folder string) (program string, err error) {
	return buildOverlaid(ctx, folder)
}

// buildOverlaid builds the program with some files of the standard library replaced. An overlay is told the root of the Go tool
// chain, and returns the texts of files by their paths.
func buildOverlaid(ctx context.Context, folder string, overlays ...func(root string) (map[string]string, error)) (program string, err error) {
	replace := map[string]string{}
	for _, overlay := range overlays {
		files, err := overlay(build.Default.GOROOT)
		if err != nil {
			return "", err
		}
		for at, text := range files {
			path := filepath.Join(folder, fmt.Sprintf("%d_%s", len(replace), filepath.Base(at)))
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				return "", err
			}
			replace[at] = path
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(path, overlay, 0o600); err != nil {
		return "", err
	}
	program = filepath.Join(folder, "coralyard")
	if out, err := exec.CommandContext(ctx, "go", "build", "-overlay", path, "-o", program, "starlingusher/cmd/coralyard").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s: %w", out, err)
	}
	return program, nil
}

// clock draws how a node's clocks go: an hour off either way or not, and as fast or slow as the settings' drift allows.
func clock(seed uint64, node int) string {
	wall := []int{-3600, 0, 3600}[(seed+uint64(node))%3]
	rate := []int{-drift, 0, drift}[(seed/3+uint64(node))%3]
	return fmt.Sprintf("%s=%d %d", clockVariable, wall, rate)
}

// SteppedClock is the environment of a process of a Skewed program whose wall clock is ahead from the start, and is stepped once.
func SteppedClock(ahead, after, step time.Duration) string {
	return fmt.Sprintf("%s=%d 0 %d %d", clockVariable, int64(ahead.Seconds()), after.Milliseconds(), int64(step.Seconds()))
}

// drift is the settings', in parts of a thousand.
const drift = 20
