// Command player plays one day of a file and prints its outcome as JSON. Comparing builds lays it over older trees; it has no
// other use.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"starlingusher/lab/days"
)

func main() {
	if err := play(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "player:", err)
		os.Exit(1)
	}
}

func play(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("a file and a seed are wanted")
	}
	seed, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	spec, err := days.Load(args[0])
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(spec.Play(seed))
}
