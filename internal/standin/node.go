package standin

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Limits are a node's.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// NodeConfig is a node's configuration file, in the platform's form. settings are JSON.
func NodeConfig(listen, discovery string, l Limits, settings string, members []Member) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": "n", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964", "limits": l,
		"known":    map[string]any{"revision": 1, "complete": true, "members": members},
		"settings": json.RawMessage(settings),
	})
}

// Command is a client's command on the wire: an array of bulk strings.
func Command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}
