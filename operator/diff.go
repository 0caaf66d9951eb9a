package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Difference is one value that differs between two bundles.
type Difference struct {
	Path string `json:"path"` // such as $.services[desk].shards
	From string `json:"from"` // JSON text; empty if the first bundle lacks the path
	To   string `json:"to"`   // JSON text; empty if the second bundle lacks the path
}

// Diff compares two JSON documents and returns their differences sorted by path. Array
// items are matched by their "name" field, or by index if they have none, so that an
// inserted target does not change the paths of the targets after it.
func Diff(from, to []byte) ([]Difference, error) {
	fromValues, err := flatten(from)
	if err != nil {
		return nil, err
	}
	toValues, err := flatten(to)
	if err != nil {
		return nil, err
	}
	changes := []Difference{}
	for path, value := range fromValues {
		if toValues[path] != value {
			changes = append(changes, Difference{Path: path, From: value, To: toValues[path]})
		}
	}
	for path, value := range toValues {
		if _, inBoth := fromValues[path]; !inBoth {
			changes = append(changes, Difference{Path: path, To: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// flatten decodes a JSON document and maps the path of each scalar in it to the scalar's
// JSON text.
func flatten(data []byte) (map[string]string, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, result.Wrap(result.BadBundle, err, "not JSON")
	}
	flat := map[string]string{}
	flattenInto(flat, "$", tree)
	return flat, nil
}

// flattenInto adds the scalars in node, a decoded JSON value at path, to flat.
func flattenInto(flat map[string]string, path string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for name, value := range n {
			flattenInto(flat, path+"."+name, value)
		}
	case []any:
		for i, item := range n {
			flattenInto(flat, fmt.Sprintf("%s[%s]", path, itemKey(i, item)), item)
		}
	default:
		text, _ := json.Marshal(n) // scalars always encode
		flat[path] = string(text)
	}
}

// itemKey returns the "name" field of item, or the item's index i in its array if it has
// no such field.
func itemKey(i int, item any) string {
	if object, ok := item.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
