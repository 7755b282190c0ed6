// Package report draws what came of days as one HTML file that needs nothing from outside: service over time with the troubles
// marked, latency, where messages waited, and calls against what partners took; of one way of playing or of two side by side.
package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"starlingusher/lab/experiment"
	"starlingusher/lab/model"
)

// Run is a day that was played, under a name.
type Run struct {
	Name   string
	Result *model.Result
}

// Page is what a report shows.
type Page struct {
	Title string
	About string
	Seed  uint64
	Day   *model.Day
	Runs  []Run // one or two, of the same day
	// Differences are of the second less the first, over many seeds.
	Differences []experiment.Difference
	Partners    int // charts of so many partners at most, those with troubles and the most traffic first; 0 for 6
}

const (
	width, height = 1150, 260 // of a chart, in points; shown at 1,200 pixels
)

var colours = []color.RGBA{{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}, {R: 0xc4, G: 0x4e, B: 0x1a, A: 0xff}}

var (
	grey  = color.RGBA{R: 0x77, G: 0x77, B: 0x77, A: 0xff}
	green = color.RGBA{R: 0x2b, G: 0x80, B: 0x3e, A: 0xff}
	pink  = color.NRGBA{R: 0xd9, G: 0x54, B: 0x6a, A: 0x38}
)

// chart is one picture with its caption.
type chart struct {
	Title string
	SVG   template.HTML
}

// Write draws the page.
func (p Page) Write(w io.Writer) error {
	if len(p.Runs) == 0 || len(p.Runs) > 2 {
		return fmt.Errorf("a report shows one run or two, not %d", len(p.Runs))
	}
	var charts []chart
	for _, draw := range []func() (chart, error){p.service, p.waiting, p.latency} {
		c, err := draw()
		if err != nil {
			return err
		}
		charts = append(charts, c)
	}
	for _, i := range p.partners() {
		c, err := p.calls(i)
		if err != nil {
			return err
		}
		charts = append(charts, c)
	}
	return page.Execute(w, map[string]any{"Page": p, "Charts": charts, "Figures": p.figures(), "Held": p.held(), "Troubles": p.troubles()})
}

// blank is a chart over the day with its troubles marked.
func (p Page) blank(y string, whom int) *plot.Plot {
	c := plot.New()
	c.X.Label.Text, c.Y.Label.Text = "time of the day [s]", y
	c.X.Min, c.X.Max, c.Y.Min = 0, p.Day.Length.Seconds(), 0
	c.Add(plotter.NewGrid())
	dress(c)
	for _, t := range p.Day.Troubles {
		if whom < 0 || slices.Contains(t.Partners, whom) {
			c.Add(&band{t.At.Seconds(), (t.At + t.For).Seconds()})
		}
	}
	return c
}

// dress sets sizes, ticks and the legend, which has the room above the lines.
func dress(c *plot.Plot) {
	c.Legend.Top, c.Legend.Left = true, true
	c.Legend.Padding = vg.Points(2)
	c.X.Tick.Marker, c.Y.Tick.Marker = plot.TickerFunc(ticks), plot.TickerFunc(ticks)
	for _, size := range []*font.Length{&c.X.Label.TextStyle.Font.Size, &c.Y.Label.TextStyle.Font.Size, &c.X.Tick.Label.Font.Size,
		&c.Y.Tick.Label.Font.Size, &c.Legend.TextStyle.Font.Size} {
		*size = font.Points(13)
	}
}

// ticks are at round numbers, five to ten of them, written as short as they are.
func ticks(low, high float64) (all []plot.Tick) {
	step := math.Pow(10, math.Floor(math.Log10(max(high-low, 1e-9))))
	for _, part := range []float64{0.1, 0.2, 0.5, 1} {
		if (high-low)/(step*part) <= 10 {
			step *= part
			break
		}
	}
	for i := math.Ceil(low / step); i*step <= high*(1+1e-9); i++ {
		all = append(all, plot.Tick{Value: i * step, Label: strconv.FormatFloat(i*step, 'g', 4, 64)})
	}
	return all
}

// band marks a trouble's time over the whole height.
type band struct{ from, to float64 }

// Plot is plot.Plotter's.
func (b *band) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	from, to := max(x(max(b.from, p.X.Min)), c.Min.X), min(x(min(b.to, p.X.Max)), c.Max.X)
	if to > from {
		c.FillPolygon(pink, []vg.Point{{X: from, Y: c.Min.Y}, {X: to, Y: c.Min.Y}, {X: to, Y: c.Max.Y}, {X: from, Y: c.Max.Y}})
	}
}

// line adds a series by seconds.
func line(c *plot.Plot, name string, colour color.Color, dashed bool, n int, y func(i int) float64) error {
	var points plotter.XYs
	for i := range n {
		if v := y(i); !math.IsNaN(v) {
			points = append(points, plotter.XY{X: float64(i) + 0.5, Y: v})
		}
	}
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	l.Color, l.Width = colour, vg.Points(1.6)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	c.Add(l)
	c.Legend.Add(name, l)
	return nil
}

// svg draws a chart.
func svg(title string, c *plot.Plot) (chart, error) {
	canvas := vgsvg.New(width, height)
	c.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return chart{}, fmt.Errorf("%s: %w", title, err)
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 { // without the head of a file
		text = text[i:]
	}
	return chart{title, template.HTML(text)}, nil // drawn here; names in it are escaped by the writer of SVG
}

func (p Page) service() (chart, error) {
	c := p.blank("worth delivered, share", -1)
	c.Y.Max = 1.3 // room for the legend
	for i, r := range p.Runs {
		s := r.Result.Seconds
		n := min(len(s), int(math.Ceil(p.Day.Length.Seconds())))
		if err := line(c, r.Name, colours[i], false, n, func(k int) float64 {
			asked, got := 0.0, 0.0 // over three seconds, or single large messages are all that shows
			for j := max(k-1, 0); j < min(k+2, n); j++ {
				asked += s[j].Asked
				got += s[j].Got
			}
			if asked == 0 {
				return math.NaN()
			}
			return got / asked
		}); err != nil {
			return chart{}, err
		}
	}
	return svg("Service by when messages were handed in: worth delivered of what was asked for, over three seconds", c)
}

func (p Page) waiting() (chart, error) {
	c := p.blank("messages, calls [1/s]", -1)
	for i, r := range p.Runs {
		s := r.Result.Seconds
		for _, one := range []struct {
			name   string
			dashed bool
			of     func(model.Second) int
		}{{"delivered", false, func(s model.Second) int { return s.Calls }}, {"turned away", true, func(s model.Second) int { return s.Refused }}} {
			if err := line(c, r.Name+": "+one.name, colours[i], one.dashed, len(s), func(k int) float64 { return float64(one.of(s[k])) }); err != nil {
				return chart{}, err
			}
		}
	}
	c.Y.Max *= 1.5
	return svg("Messages delivered and turned away, by when that was", c)
}

func (p Page) latency() (chart, error) {
	c := plot.New()
	c.X.Label.Text, c.Y.Label.Text = "share of the delivered messages [%]", "latency [s]"
	c.X.Min, c.X.Max, c.Y.Min = 0, 100, 0
	c.Add(plotter.NewGrid())
	dress(c)
	for i, r := range p.Runs {
		var points plotter.XYs
		for q := 0.0; q <= 100; q += 0.5 {
			points = append(points, plotter.XY{X: q, Y: r.Result.Quantile(q / 100)})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return chart{}, err
		}
		l.Color, l.Width = colours[i], vg.Points(1.6)
		c.Add(l)
		c.Legend.Add(r.Name, l)
	}
	c.Y.Max *= 1.05
	return svg("Latency from the first hand-in to the answer, by percentile", c)
}

// partners are those that have charts.
func (p Page) partners() []int {
	weight := make([]float64, len(p.Day.Partners))
	all := make([]int, len(weight))
	for i, one := range p.Day.Partners {
		all[i], weight[i] = i, one.Rate
		for _, t := range p.Day.Troubles {
			if len(t.Partners) < len(weight) && slices.Contains(t.Partners, i) {
				weight[i] += 1e9
			}
		}
	}
	slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(weight[b], weight[a]) })
	return all[:min(len(all), cmp.Or(p.Partners, 6))]
}

func (p Page) calls(i int) (chart, error) {
	c := p.blank("calls [1/s]", i)
	first := p.Runs[0].Result.Partners[i]
	n := int(math.Ceil(p.Day.Length.Seconds())) + 5
	if err := line(c, "it can do", green, true, min(n, len(first.Stands)), func(k int) float64 { return first.Stands[k] }); err != nil {
		return chart{}, err
	}
	if p.Day.Partners[i].Limit.Rate > 0 {
		if err := line(c, "limit", grey, true, min(n, len(first.Limit)), func(k int) float64 { return first.Limit[k] }); err != nil {
			return chart{}, err
		}
	}
	most := 1.0
	for j, r := range p.Runs {
		calls := r.Result.Partners[i]
		if err := line(c, r.Name+": sent", colours[j], false, min(n, len(calls.Came)), func(k int) float64 {
			most = max(most, float64(calls.Came[k]))
			return float64(calls.Came[k])
		}); err != nil {
			return chart{}, err
		}
	}
	for k := range first.Stands {
		most = max(most, 0.6*first.Stands[k])
	}
	c.Y.Max = 1.6 * most
	c.X.Max = float64(n)
	return svg(fmt.Sprintf("Partner %d: calls of the whole fleet against what it can do and its limit", i), c)
}

// figure is a row of a table.
type figure struct {
	Name   string
	Values []string
}

func (p Page) figures() (all []figure) {
	add := func(name string, of func(r *model.Result) string) {
		f := figure{Name: name}
		for _, r := range p.Runs {
			f.Values = append(f.Values, of(r.Result))
		}
		all = append(all, f)
	}
	number := func(format string, of func(r *model.Result) float64) func(r *model.Result) string {
		return func(r *model.Result) string { return fmt.Sprintf(format, of(r)) }
	}
	add("messages", func(r *model.Result) string { return fmt.Sprint(r.Messages) })
	add("service", number("%.3f", func(r *model.Result) float64 { return r.Service }))
	add("worth delivered", number("%.3f", func(r *model.Result) float64 { return r.Worth }))
	add("worst ten seconds", number("%.3f", func(r *model.Result) float64 { return r.WorstTen }))
	add("delivered in time", number("%.3f", func(r *model.Result) float64 { return r.InTime }))
	add("refusals a message", number("%.3f", func(r *model.Result) float64 { return r.Refusals }))
	add("failed", number("%.3f", func(r *model.Result) float64 { return r.Failed }))
	add("calls a message", number("%.3f", func(r *model.Result) float64 { return r.Calls }))
	add("refused calls a message", number("%.3f", func(r *model.Result) float64 { return r.Over }))
	add("connections a message", number("%.3f", func(r *model.Result) float64 { return r.Opened }))
	add("median latency", number("%.2f s", func(r *model.Result) float64 { return r.Quantile(0.5) }))
	add("99th percentile", number("%.2f s", func(r *model.Result) float64 { return r.Quantile(0.99) }))
	add("most sent to a cold partner, of what it stands", number("%.2f", func(r *model.Result) float64 { return r.Cold }))
	add("broken rules", func(r *model.Result) string { return cmp.Or(strings.Join(r.Rules(), ", "), "none") })
	return all
}

// held tells where messages spent their time.
func (p Page) held() (all []figure) {
	names := map[string]float64{}
	for _, r := range p.Runs {
		for name, sec := range r.Result.Held {
			names[name] = max(names[name], sec)
		}
	}
	order := make([]string, 0, len(names))
	for name := range names {
		order = append(order, name)
	}
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(cmp.Compare(names[b], names[a]), cmp.Compare(a, b)) })
	for _, name := range order {
		f := figure{Name: name}
		for _, r := range p.Runs {
			f.Values = append(f.Values, fmt.Sprintf("%.3f", r.Result.Held[name]/max(float64(r.Result.Messages), 1)))
		}
		all = append(all, f)
	}
	return all
}

func (p Page) troubles() (all []string) {
	for _, t := range p.Day.Troubles {
		s := fmt.Sprintf("%s from %.1f to %.1f s", t.Ill, t.At.Seconds(), (t.At + t.For).Seconds())
		if t.Size > 0 {
			s += fmt.Sprintf(", size %.2g", t.Size)
		}
		if n := len(t.Partners); n > 0 {
			s += fmt.Sprintf(", %d of %d partners", n, len(p.Day.Partners))
		}
		if n := len(t.Nodes); n > 0 {
			s += fmt.Sprintf(", %d of %d nodes", n, len(p.Day.Nodes))
		}
		if t.Every > 0 {
			s += fmt.Sprintf(", %v", t.Every.Round(time.Millisecond))
		}
		all = append(all, s)
	}
	return all
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Page.Title}}</title>
<style>
body { font: 15px/1.45 sans-serif; max-width: 1180px; margin: 1.5em auto; color: #222; padding: 0 10px; }
h1 { font-size: 1.5em; } h2 { font-size: 1.05em; margin: 1.4em 0 .3em; }
svg { width: 100%; height: auto; }
table { border-collapse: collapse; margin: .5em 2em .5em 0; display: inline-table; vertical-align: top; }
td, th { padding: .15em .8em; border-bottom: 1px solid #ddd; text-align: right; } td:first-child, th:first-child { text-align: left; }
.noise { color: #888; }
</style></head><body>
<h1>{{.Page.Title}}</h1>
<p>{{.Page.About}}</p>
<p>Seed {{.Page.Seed}}: {{len .Page.Day.Nodes}} nodes, {{len .Page.Day.Partners}} partners{{range .Troubles}}; {{.}}{{end}}. Troubles are shaded.</p>
<table><tr><th>figure</th>{{range .Page.Runs}}<th>{{.Name}}</th>{{end}}</tr>
{{range .Figures}}<tr><td>{{.Name}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{if .Held}}<table><tr><th>seconds a message</th>{{range .Page.Runs}}<th>{{.Name}}</th>{{end}}</tr>
{{range .Held}}<tr><td>{{.Name}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
{{if .Page.Differences}}<h2>Paired differences, 95% intervals</h2>
<table><tr><th>measure</th><th>pairs</th><th>{{(index .Page.Runs 0).Name}}</th><th>{{(index .Page.Runs 1).Name}}</th><th>difference</th><th>interval</th></tr>
{{range .Page.Differences}}<tr{{if .Noise}} class="noise"{{end}}><td>{{.Measure}}</td><td>{{.Pairs}}</td><td>{{printf "%.4f" .Base}}</td><td>{{printf "%.4f" .Other}}</td><td>{{printf "%+.4f" .Mean}}</td><td>{{printf "%+.4f to %+.4f" .Low .High}}{{if .Noise}}, noise{{end}}</td></tr>{{end}}</table>{{end}}
{{range .Charts}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}</body></html>
`))
