package ffreport

// chart is a bar chart of the page.
type chart struct {
	title  string
	unit   string
	labels []string
	series []series
}

// series is a named series of values in a chart, one value per label.
type series struct {
	name   string
	values []float64
}

// charts returns the charts of an experiment, or none if no charts are defined for it.
func charts(l Report) ([]chart, error) {
	build, ok := chartFuncs[l.Name]
	if !ok {
		return nil, nil
	}
	return build(l)
}

// chartFuncs maps the names of experiments to the functions that build their charts.
var chartFuncs = map[string]func(Report) ([]chart, error){
	"convergence":   convergence,
	"crest":         crest,
	"headOfLine":    headOfLine,
	"slowedTargets": slowedTargets,
	"addedLatency":  addedLatency,
	"contracts":     contracts,
}

// pair returns a chart that shows the values of the baseline next to those of the product.
func pair(title, unit string, labels []string, baseline, product []float64) chart {
	return chart{title: title, unit: unit, labels: labels, series: []series{{"baseline", baseline}, {"product", product}}}
}

type convergencePoint struct {
	Daemons                int     `json:"daemons"`
	MedianMillis           float64 `json:"medianMillis"`
	MostMillis             float64 `json:"mostMillis"`
	PlatformCallsPerSecond float64 `json:"platformCallsPerSecond"`
}

func convergence(l Report) ([]chart, error) {
	baseline, product, err := figures[[]convergencePoint](l)
	if err != nil {
		return nil, err
	}
	var labels []string
	var times, calls [2][]float64
	for i, points := range [][]convergencePoint{baseline, product} {
		for _, p := range points {
			times[i] = append(times[i], p.MedianMillis)
			calls[i] = append(calls[i], p.PlatformCallsPerSecond)
		}
	}
	for _, p := range product {
		labels = append(labels, count(p.Daemons, "daemons"))
	}
	return []chart{
		pair("Convergence by fleet size, median", "ms", labels, times[0], times[1]),
		pair("Platform calls by fleet size", "calls/s", labels, calls[0], calls[1]),
	}, nil
}

type crestPoint struct {
	Goodput     float64 `json:"goodput"`
	SmallServed float64 `json:"smallServed"`
}

func crest(l Report) ([]chart, error) {
	b, p, err := figures[crestPoint](l)
	labels := []string{"answers in time / capacity", "small customer served"}
	return []chart{pair("Service at the crest", "part", labels, []float64{b.Goodput, b.SmallServed}, []float64{p.Goodput, p.SmallServed})}, err
}

type linePoint struct {
	AloneP50  float64 `json:"aloneP50Millis"`
	AloneP99  float64 `json:"aloneP99Millis"`
	BesideP50 float64 `json:"besideP50Millis"`
	BesideP99 float64 `json:"besideP99Millis"`
}

func headOfLine(l Report) ([]chart, error) {
	b, p, err := figures[linePoint](l)
	labels := []string{"alone p50", "alone p99", "beside long p50", "beside long p99"}
	values := func(x linePoint) []float64 { return []float64{x.AloneP50, x.AloneP99, x.BesideP50, x.BesideP99} }
	return []chart{pair("Short work beside long work", "ms", labels, values(b), values(p))}, err
}

type slowedPoint struct {
	NoneP50   float64 `json:"noneP50Millis"`
	NoneP99   float64 `json:"noneP99Millis"`
	SlowedP50 float64 `json:"slowedP50Millis"`
	SlowedP99 float64 `json:"slowedP99Millis"`
}

func slowedTargets(l Report) ([]chart, error) {
	b, p, err := figures[slowedPoint](l)
	labels := []string{"none slow p50", "none slow p99", "two slow p50", "two slow p99"}
	values := func(x slowedPoint) []float64 { return []float64{x.NoneP50, x.NoneP99, x.SlowedP50, x.SlowedP99} }
	return []chart{pair("Latency with slowed targets", "ms", labels, values(b), values(p))}, err
}

type addedPoint struct {
	P50 float64 `json:"p50Millis"`
	P99 float64 `json:"p99Millis"`
}

func addedLatency(l Report) ([]chart, error) {
	b, p, err := figures[addedPoint](l)
	return []chart{pair("Straight to the target and through daemons", "ms", []string{"p50", "p99"}, []float64{b.P50, b.P99}, []float64{p.P50, p.P99})}, err
}

type contractPoint struct {
	Careless float64 `json:"carelessPerSecond"`
}

func contracts(l Report) ([]chart, error) {
	b, p, err := figures[contractPoint](l)
	return []chart{pair("Careless customer with a contract of 50 calls/s", "calls/s", []string{"served"}, []float64{b.Careless}, []float64{p.Careless})}, err
}
