package ffreport

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// FileName is the name of the page file in the directory of the reports.
const FileName = "report.html"

const (
	width    = 18 * vg.Centimeter
	height   = 9 * vg.Centimeter
	barWidth = vg.Length(24)
	headroom = 1.25
	fileMode = 0o644
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// section is the template data of one experiment.
type section struct {
	Report
	Plots []template.HTML
}

// Write renders the reports in a directory to FileName in the same directory and
// returns the path of the page.
func Write(directory string) (string, error) {
	lines, err := Read(directory)
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if err := Render(&b, lines); err != nil {
		return "", err
	}
	path := filepath.Join(directory, FileName)
	if err := os.WriteFile(path, b.Bytes(), fileMode); err != nil {
		return "", &Error{Op: "write", Kind: KindFile, Err: err}
	}
	return path, nil
}

// Render writes the HTML page of the given reports to w.
func Render(w io.Writer, lines []Report) error {
	sections := make([]section, len(lines))
	for i, l := range lines {
		sections[i].Report = l
		drawn, err := charts(l)
		if err != nil {
			return err
		}
		for _, c := range drawn {
			svg, err := c.svg()
			if err != nil {
				return &Error{Op: "draw " + l.Name, Kind: KindPlot, Err: err}
			}
			sections[i].Plots = append(sections[i].Plots, svg)
		}
	}
	if err := page.Execute(w, sections); err != nil {
		return &Error{Op: "render", Kind: KindFile, Err: err}
	}
	return nil
}

// svg renders the chart as a grouped bar chart in SVG.
func (c chart) svg() (template.HTML, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range c.series {
		bars, err := plotter.NewBarChart(plotter.Values(s.values), barWidth)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(c.series)+1) / 2
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.NominalX(c.labels...)
	// Leave space for the legend above the bars and for full bars at both edges.
	p.Y.Max *= headroom
	p.X.Min = -0.5
	p.X.Max = float64(len(c.labels)) - 0.5
	drawn, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := drawn.WriteTo(&b); err != nil {
		return "", err
	}
	// Safe to embed unescaped: the plot library generates the SVG, and its text
	// consists of constants and numbers.
	return template.HTML(withoutProlog(b.Bytes())), nil
}

// withoutProlog removes everything before the <svg> element.
func withoutProlog(svg []byte) []byte {
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		return svg[i:]
	}
	return svg
}

func count(n int, what string) string { return fmt.Sprintf("%d %s", n, what) }
