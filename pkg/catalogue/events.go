package catalogue

import (
	"fmt"
	"go/ast"
	"slices"
	"strconv"
	"strings"
)

// Events returns the page of log events, generated from the constants of type Event in pkg/common. It returns an error if
// a number is used twice or an event has no comment.
func Events(root string) (string, error) {
	s, err := parseFiles(root, "pkg/common")
	if err != nil {
		return "", err
	}
	meanings := map[string]string{}
	names := map[string]string{}
	for _, file := range s.files {
		for _, spec := range eventSpecs(file) {
			number, name, meaning := parseEvent(spec)
			if _, ok := meanings[number]; ok {
				return "", fmt.Errorf("event %s is both %s and %s", number, names[number], name)
			}
			if meaning == "" {
				return "", fmt.Errorf("event %s (%s) has no comment", number, name)
			}
			meanings[number], names[number] = meaning, name
		}
	}
	numbers := make([]string, 0, len(meanings))
	for number := range meanings {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	var b strings.Builder
	b.WriteString("# Log events\n\n" + notice)
	b.WriteString("Each log line is a JSON object whose field `event` is one of these numbers.\n\n")
	b.WriteString("| event | when it is logged, and what to do | constant |\n|---|---|---|\n")
	for _, number := range numbers {
		b.WriteString(tableRow(number, meanings[number], "`"+names[number]+"`"))
	}
	return b.String(), nil
}

// eventSpecs returns the declarations of the constants of type Event.
func eventSpecs(file *ast.File) []*ast.ValueSpec {
	var found []*ast.ValueSpec
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Event" && len(spec.Values) == 1 {
			found = append(found, spec)
		}
		return true
	})
	return found
}

func parseEvent(spec *ast.ValueSpec) (number, name, meaning string) {
	if literal, ok := spec.Values[0].(*ast.BasicLit); ok {
		number, _ = strconv.Unquote(literal.Value)
	}
	return number, spec.Names[0].Name, strings.TrimSpace(spec.Comment.Text())
}
