package burn

import (
	"html/template"
	"io"
)

// WritePage writes the report as a self-contained HTML page. The title names the entry, or the set of entries whose
// snapshots were merged.
func WritePage(w io.Writer, title string, report Report) error {
	return page.Execute(w, struct {
		Title string
		Report
	}{title, report})
}

// bar is one bar of a chart, in pixels.
type bar struct{ X, Y, Height int }

const (
	barWidth    = 8
	chartHeight = 60
)

// bars returns the bars of a chart of the fraction of bad requests in each bucket of the last 6 h. The highest bar has the
// full height of the chart.
func bars(recent []Count) []bar {
	maxShare := 0.0
	for _, c := range recent {
		maxShare = max(maxShare, c.BadShare())
	}
	var rects []bar
	for i, c := range recent {
		if c.Bad == 0 {
			continue
		}
		height := max(1, int(c.BadShare()/maxShare*chartHeight))
		rects = append(rects, bar{X: i * barWidth, Y: chartHeight - height, Height: height})
	}
	return rects
}

// maxBadPercent returns the highest percentage of bad requests in a bucket.
func maxBadPercent(recent []Count) float64 {
	maxShare := 0.0
	for _, c := range recent {
		maxShare = max(maxShare, c.BadShare())
	}
	return maxShare * 100
}

func percentOf(share float64) float64 { return share * 100 }

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"bars": bars, "highest": maxBadPercent, "percent": percentOf,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Error budgets of {{.Title}}</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ccc}
td:first-child,th:first-child{text-align:left}svg{background:#f4f4f4}rect{fill:#b03030}.page{color:#b03030}.ticket{color:#a06000}</style></head><body>
<h1>Error budgets of {{.Title}}</h1>
<p>{{.Time.UTC.Format "2006-01-02 15:04:05"}} UTC.</p>
{{range .Missing}}<p class="page">Not counted: {{.}}</p>
{{end}}
{{range .Services}}<h2>{{.Service}}</h2>
<p>{{.Objective.Latency}} for {{printf "%.6g" (percent .Objective.Target)}}% of requests; {{printf "%.1f" (percent .Left)}}% of the error budget of 3 d left.
{{if .Alert}}<strong class="{{.Alert}}">{{.Alert}}</strong>{{end}}</p>
<table><tr><th>window</th><th>burn rate</th><th>bad</th><th>all</th></tr>
{{range .Rates}}<tr><td>{{.Window}}</td><td>{{printf "%.2f" .Rate}}</td><td>{{.Count.Bad}}</td><td>{{.Count.Total}}</td></tr>
{{end}}</table>
<p>Share of bad requests in the last 6 h, at most {{printf "%.3g" (highest .Recent)}}%:</p>
<svg width="576" height="60" role="img" aria-label="share of bad requests in the last 6 h">{{range bars .Recent}}<rect x="{{.X}}" y="{{.Y}}" width="7" height="{{.Height}}"/>{{end}}</svg>
{{if .Sources}}<table><tr><th>bad requests come from</th><th>share of all bad</th><th>bad there</th></tr>
{{range .Sources}}<tr><td>{{.Dimension}} {{.Name}}</td><td>{{printf "%.1f" (percent .Share)}}%</td><td>{{printf "%.2f" (percent .BadShare)}}%</td></tr>
{{end}}</table>{{end}}
{{else}}<p>No slo rule is in force.</p>{{end}}</body></html>
`))
