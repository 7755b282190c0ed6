package node

import (
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootFile tells by which start of the machine it runs.
const bootFile = "/proc/sys/kernel/random/boot_id"

// bootClock is a delivery.BootClock of the machine's monotonic clock.
func bootClock() (boot string, up time.Duration, ok bool) {
	id, err := readFile(bootFile) // without it the node would take the machine for started anew
	if err != nil {
		return "", 0, false
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return "", 0, false
	}
	return strings.TrimSpace(string(id)), time.Duration(now.Nano()), true
}
