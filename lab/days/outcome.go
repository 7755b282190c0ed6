package days

// Outcome is what is kept of a day that was played.
type Outcome struct {
	Seed     uint64             `json:"seed"`
	Measures map[string]float64 `json:"measures"`
	Breaches map[string]int     `json:"breaches,omitempty"`
	First    string             `json:"first,omitempty"` // the first breach with its steps
}

// Play draws and plays the day of a seed.
func (s *Spec) Play(seed uint64) Outcome {
	r := s.Draw(seed).Play(s.Options(seed))
	o := Outcome{Seed: seed, Measures: map[string]float64{}}
	for _, name := range Measures() {
		o.Measures[name], _ = Measure(r, name) // the names are its own
	}
	if len(r.Broken) > 0 {
		o.Breaches = r.Breaches
		o.First = r.Broken[0].String()
	}
	return o
}
