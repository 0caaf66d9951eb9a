// Package strictjson decodes JSON that people write. Unlike encoding/json it
// refuses unknown and repeated fields, names in another case, numbers out of
// the range of their type and trailing data, and it reports all findings at
// once, each with its path.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// MaxDepth bounds the nesting of objects and arrays.
const MaxDepth = 32

// MaxFindings bounds the findings that are reported one by one. A large document
// of another kind has hundreds of thousands.
const MaxFindings = 100

// Finding is one fault of a document.
type Finding struct {
	Path    string `json:"path"`    // such as $.services[0].name
	Found   string `json:"found"`   // the value or kind that stands there
	Allowed string `json:"allowed"` // what may stand there
}

// String renders the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", f.Path, f.Found, f.Allowed)
}

// member is one field of an object, in the order of the document.
type member struct {
	name  string
	value any
}

// object keeps repeated names, which a map would hide.
type object []member

// Decode reads data into the struct that into points at and returns what was
// found amiss. Fields need a json tag; those without omitempty are required.
// After findings the content of into is not meaningful.
func Decode(data []byte, into any) []Finding {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	tree, err := readValue(dec, 0)
	if err == nil {
		err = expectEOF(dec)
	}
	if err != nil {
		where := fmt.Sprintf("%v near byte %d", err, dec.InputOffset())
		return []Finding{{Path: "$", Found: where, Allowed: "one JSON document"}}
	}
	w := &decoder{}
	w.decode("$", tree, reflect.ValueOf(into).Elem())
	return w.allFindings()
}

func expectEOF(dec *json.Decoder) error {
	_, err := dec.Token()
	if err == io.EOF {
		return nil
	}
	if err != nil {
		return err
	}
	return fmt.Errorf("data after the document")
}

func readValue(dec *json.Decoder, depth int) (any, error) {
	if depth > MaxDepth {
		return nil, fmt.Errorf("nesting deeper than %d", MaxDepth)
	}
	tok, err := dec.Token()
	if err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	switch tok {
	case json.Delim('{'):
		return readObject(dec, depth)
	case json.Delim('['):
		return readArray(dec, depth)
	}
	return tok, nil
}

func readObject(dec *json.Decoder, depth int) (any, error) {
	obj := object{}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		value, err := readValue(dec, depth+1)
		if err != nil {
			return nil, err
		}
		obj = append(obj, member{name: name.(string), value: value})
	}
	_, err := dec.Token()
	return obj, err
}

func readArray(dec *json.Decoder, depth int) (any, error) {
	list := []any{}
	for dec.More() {
		value, err := readValue(dec, depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := dec.Token()
	return list, err
}

type decoder struct {
	findings []Finding
	omitted  int // findings beyond MaxFindings
}

func (w *decoder) add(path, found, allowed string) {
	if len(w.findings) >= MaxFindings {
		w.omitted++
		return
	}
	w.findings = append(w.findings, Finding{Path: path, Found: found, Allowed: allowed})
}

// allFindings returns the findings, and one that counts those left out.
func (w *decoder) allFindings() []Finding {
	if w.omitted > 0 {
		return append(w.findings, Finding{Path: "$", Found: fmt.Sprintf("%d findings more", w.omitted), Allowed: "none"})
	}
	return w.findings
}

func (w *decoder) decode(path string, node any, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		w.decodeStruct(path, node, v)
	case reflect.Slice:
		w.decodeSlice(path, node, v)
	case reflect.String:
		s, ok := node.(string)
		if !ok {
			w.add(path, describe(node), "a string")
			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := node.(bool)
		if !ok {
			w.add(path, describe(node), "true or false")
			return
		}
		v.SetBool(b)
	default:
		w.decodeNumber(path, node, v)
	}
}

func (w *decoder) decodeNumber(path string, node any, v reflect.Value) {
	num, ok := node.(json.Number)
	if !ok {
		w.add(path, describe(node), "a number")
		return
	}
	text := num.String()
	switch {
	case v.CanInt():
		n, err := strconv.ParseInt(text, 10, v.Type().Bits())
		if err != nil {
			w.add(path, text, "a whole number")
			return
		}
		v.SetInt(n)
	case v.CanUint():
		n, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			w.add(path, text, "a whole number from 0")
			return
		}
		v.SetUint(n)
	case v.CanFloat():
		f, err := strconv.ParseFloat(text, v.Type().Bits())
		if err != nil {
			w.add(path, text, "a number")
			return
		}
		v.SetFloat(f)
	default:
		panic("strictjson: type not supported: " + v.Type().String())
	}
}

func (w *decoder) decodeSlice(path string, node any, v reflect.Value) {
	list, ok := node.([]any)
	if !ok {
		w.add(path, describe(node), "an array")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, item := range list {
		w.decode(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}

func (w *decoder) decodeStruct(path string, node any, v reflect.Value) {
	obj, ok := node.(object)
	if !ok {
		w.add(path, describe(node), "an object")
		return
	}
	fields, names := fieldsOf(v.Type())
	seen := map[string]bool{}
	for _, m := range obj {
		at := path + "." + m.name
		field, known := fields[m.name]
		switch {
		case !known:
			w.add(at, "an unknown field", "one of "+strings.Join(names, ", "))
		case seen[m.name]:
			w.add(at, "the field twice", "the field once")
		default:
			seen[m.name] = true
			w.decode(at, m.value, v.Field(field.index))
		}
	}
	for _, name := range names {
		if !seen[name] && !fields[name].optional {
			w.add(path+"."+name, "nothing", "a value; the field is required")
		}
	}
}

type field struct {
	index    int
	optional bool
}

func fieldsOf(t reflect.Type) (map[string]field, []string) {
	fields := map[string]field{}
	var names []string
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = field{index: i, optional: options == "omitempty"}
		names = append(names, name)
	}
	return fields, names
}

func describe(node any) string {
	switch n := node.(type) {
	case nil:
		return "null"
	case string:
		return strconv.Quote(n)
	case json.Number:
		return n.String()
	case bool:
		return strconv.FormatBool(n)
	case []any:
		return "an array"
	default:
		return "an object"
	}
}
