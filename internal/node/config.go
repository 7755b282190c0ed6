// Package node is a delivery node on real sockets: clients hand messages in, the node journals them, asks
// package choice what to do, calls endpoints, and reports the ends. It decides nothing about messages itself.
package node

import (
	"encoding/json"
	"fmt"
	"net"

	"starlingusher/choice"
	"starlingusher/delivery"
	"starlingusher/internal/wire"
)

// Config is what a delivery node is told at its start.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
		DiskMB   float64 `json:"disk_mb"`
	} `json:"limits"`
	Known       list            `json:"known"`
	RawSettings json.RawMessage `json:"settings"`

	State    string          `json:"-"` // the folder that lasts
	Settings choice.Settings `json:"-"`
	Names    wire.Names      `json:"-"`
}

// Engine is what the configuration tells an engine: all but where changes of the list come from.
func (c Config) Engine() delivery.Config {
	return delivery.Config{
		State: c.State, DiskMB: c.Limits.DiskMB, Settings: c.Settings, Seed: c.Seed, Known: c.Known.told(c.Names), Boot: bootClock,
	}
}

// LoadConfig reads the configuration file of a node whose lasting folder is state.
func LoadConfig(path, state string) (Config, error) {
	var c Config
	raw, err := readFile(path)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.State = state
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return c, fmt.Errorf("configuration %s: discovery: %w", path, err)
	}
	if c.Settings, err = wire.Settings(c.RawSettings); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.Settings.FullTold = true // on sockets it is a 503
	if c.Names, err = wire.SettingsNames(c.RawSettings); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}
