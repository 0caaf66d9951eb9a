package experiment

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex gives the line of each field of a file by its path, like "deployment.slots" or
// "faults[0].zone". A table has a line, too.
type lineIndex map[string]int

// findLines returns the lines of the fields of a TOML text.
func findLines(data []byte) (lineIndex, error) {
	lines := lineIndex{}
	elements := map[string]int{} // number of elements so far of each array of tables, by its path
	prefix := ""
	p := &unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		node := p.Expression()
		names, line := keyOf(p, node)
		switch node.Kind {
		case unstable.Table:
			prefix = tablePath(names, elements)
			lines[prefix] = line
		case unstable.ArrayTable:
			path := tablePath(names[:len(names)-1], elements)
			array := join(path, names[len(names)-1])
			prefix = fmt.Sprintf("%s[%d]", array, elements[array])
			elements[array]++
			lines[prefix] = line
		case unstable.KeyValue:
			lines.addField(p, prefix, node)
		}
	}
	return lines, p.Error()
}

// addField records the line of a field, and those of the fields of an inline table.
func (l lineIndex) addField(p *unstable.Parser, prefix string, node *unstable.Node) {
	names, line := keyOf(p, node)
	path := prefix
	for _, name := range names {
		path = join(path, name)
	}
	l[path] = line
	if value := node.Value(); value.Kind == unstable.InlineTable {
		for fields := value.Children(); fields.Next(); {
			l.addField(p, path, fields.Node())
		}
	}
}

// keyOf returns the names of a dotted key, and its line.
func keyOf(p *unstable.Parser, node *unstable.Node) (names []string, line int) {
	for key := node.Key(); key.Next(); {
		n := key.Node()
		names = append(names, string(n.Data))
		line = p.Shape(n.Raw).Start.Line
	}
	return names, line
}

// tablePath returns the path of a table, in which each array of tables stands for its latest element.
func tablePath(names []string, elements map[string]int) string {
	path := ""
	for _, name := range names {
		path = join(path, name)
		if n := elements[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// join returns the path of a field of a table.
func join(path, name string) string { return strings.TrimPrefix(path+"."+name, ".") }

// of returns the line of a field, or of the innermost table around it that has one; 0 if none has.
func (l lineIndex) of(path string) int {
	for path != "" {
		if line, found := l[path]; found {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}
