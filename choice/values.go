package choice

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Value is a tuned value by name, for the laboratory. Durations are in seconds.
type Value struct {
	Name                 string // as gate-upper
	Unit                 string // "s", or "" for a plain number
	Default, Least, Most float64
}

// Values lists the tuned values.
func Values() []Value {
	var all []Value
	t := reflect.TypeFor[tuned]()
	for i := range t.NumField() {
		f := t.Field(i)
		v := Value{Name: kebab(f.Name)}
		text, span, _ := strings.Cut(f.Tag.Get("tune"), " ")
		low, high, _ := strings.Cut(span, "..")
		if f.Type == reflect.TypeFor[time.Duration]() {
			v.Unit = "s"
		}
		for to, x := range map[*float64]string{&v.Default: text, &v.Least: low, &v.Most: high} {
			if v.Unit == "s" {
				d, err := time.ParseDuration(x)
				*to = mustHave(f.Name, d.Seconds(), err)
			} else {
				n, err := strconv.ParseFloat(x, 64)
				*to = mustHave(f.Name, n, err)
			}
		}
		all = append(all, v)
	}
	return all
}

// mustHave is a number of the table above, which is the program's own text.
func mustHave(name string, x float64, err error) float64 {
	if err != nil {
		panic(fmt.Sprintf("choice: tuned value %s: %v", name, err))
	}
	return x
}

// tune sets what a table says, and the defaults otherwise. Names that are not there are passed over.
func (t *tuned) tune(values map[string]float64) {
	v := reflect.ValueOf(t).Elem()
	for i, one := range Values() {
		x, ok := values[one.Name]
		if !ok {
			x = one.Default
		}
		if one.Unit == "s" {
			v.Field(i).SetInt(int64(math.Round(x * float64(time.Second))))
		} else {
			v.Field(i).SetFloat(x)
		}
	}
}

// CheckTuned tells what is wrong with values by name: a name that is not there, or a value out of its range.
func CheckTuned(values map[string]float64) error {
	all := Values()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		i := slices.IndexFunc(all, func(v Value) bool { return v.Name == name })
		switch {
		case i < 0:
			return fmt.Errorf("there is no tuned value %q", name)
		case values[name] < all[i].Least || values[name] > all[i].Most:
			return fmt.Errorf("%s: %g is not within %g to %g", name, values[name], all[i].Least, all[i].Most)
		}
	}
	return nil
}

// NewTuned is New with some tuned values changed, for the laboratory. They have to pass CheckTuned.
func NewTuned(cfg Settings, seed uint64, values map[string]float64) *Sender {
	s := New(cfg, seed)
	s.t.tune(values)
	return s
}

// kebab is a Go name as tables and files write it.
func kebab(name string) string {
	var w strings.Builder
	for i, c := range name {
		if c >= 'A' && c <= 'Z' {
			if i > 0 {
				w.WriteByte('-')
			}
			c += 'a' - 'A'
		}
		w.WriteRune(c)
	}
	return w.String()
}
