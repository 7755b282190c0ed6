package days

import (
	"time"

	"go.yaml.in/yaml/v3"

	"starlingusher/lab/model"
)

// WithTroubles is the spec with certain troubles in place of its own, on one seed: what a search has found, as a file that is
// played like any other. An arrival span that differs from the file's is kept too.
func (s *Spec) WithTroubles(seed uint64, length time.Duration, troubles []model.Trouble) (*Spec, error) {
	type one struct {
		Kind  string        `yaml:"kind"`
		At    time.Duration `yaml:"at"`
		For   time.Duration `yaml:"for"`
		Size  float64       `yaml:"size,omitempty"`
		Every time.Duration `yaml:"every,omitempty"`
		Whom  []int         `yaml:"whom,omitempty,flow"`
	}
	var list []one
	for _, t := range troubles {
		list = append(list, one{t.Ill.String(), t.At, t.For, t.Size, t.Every, append(append([]int(nil), t.Partners...), t.Nodes...)})
	}
	root := clone(s.root)
	for _, key := range []string{"troubles", "seeds", "factors", "must", "length"} {
		drop(root.Content[0], key)
	}
	var more yaml.Node
	if err := more.Encode(map[string]any{"troubles": list, "length": length, "seeds": map[string]any{"from": seed, "count": 1}}); err != nil {
		return nil, err
	}
	root.Content[0].Content = append(root.Content[0].Content, more.Content...)
	text, err := yaml.Marshal(root)
	if err != nil {
		return nil, err
	}
	return Parse(s.Name+", found", text)
}
