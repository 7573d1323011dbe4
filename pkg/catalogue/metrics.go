package catalogue

import (
	"cmp"
	"go/ast"
	"go/token"
	"path"
	"slices"
	"strconv"
	"strings"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "oleander_"

// metric is a metric that is created in the code.
type metric struct {
	name    string
	kind    string
	pkg     string // path of the package from the root of the repository
	meaning string // the comment at the end of the line, or ""
}

// Metrics returns the metrics page, generated from the calls that create metrics with a literal name.
func Metrics(root string) (string, error) {
	s, err := parseFiles(root, "pkg", "cmd")
	if err != nil {
		return "", err
	}
	var found []metric
	for name, file := range s.files {
		found = append(found, s.findMetrics(path.Dir(name), file)...)
	}
	slices.SortFunc(found, func(a, b metric) int { return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.pkg, b.pkg)) })
	found = slices.CompactFunc(found, func(a, b metric) bool { return a.name == b.name && a.pkg == b.pkg })
	var b strings.Builder
	b.WriteString("# Metrics\n\n" + notice)
	b.WriteString("Every daemon serves them at `/metrics` on its operator listener.\n\n")
	b.WriteString("| metric | kind | package | meaning |\n|---|---|---|---|\n")
	for _, m := range found {
		b.WriteString(tableRow("`"+m.name+"`", m.kind, "`"+m.pkg+"`", m.meaning))
	}
	return b.String(), nil
}

func (s *source) findMetrics(pkg string, file *ast.File) []metric {
	comments := s.lineComments(file)
	var found []metric
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		literal, ok := call.Args[0].(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		name, err := strconv.Unquote(literal.Value)
		kind := metricKind(call.Fun)
		if err != nil || kind == "" || !strings.HasPrefix(name, metricPrefix) {
			return true
		}
		meaning := comments[s.positions.Position(literal.Pos()).Line]
		found = append(found, metric{name: name, kind: kind, pkg: pkg, meaning: meaning})
		return true
	})
	return found
}

// metricKind returns the kind of metric that a function creates, or "".
func metricKind(function ast.Expr) string {
	selector, ok := function.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	for _, kind := range []string{"Counter", "Gauge", "Histogram", "Summary"} {
		if strings.HasSuffix(selector.Sel.Name, kind) {
			return strings.ToLower(kind)
		}
	}
	return ""
}

// lineComments returns the text of the comments by line number.
func (s *source) lineComments(file *ast.File) map[int]string {
	comments := map[int]string{}
	for _, group := range file.Comments {
		comments[s.positions.Position(group.Pos()).Line] = strings.TrimSpace(group.Text())
	}
	return comments
}
