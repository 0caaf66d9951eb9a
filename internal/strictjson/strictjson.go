// Package strictjson decodes JSON that people write. Unlike encoding/json it
// rejects unknown and repeated fields, names in another case, numbers out of
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

// MaxDepth bounds the nesting of objects and arrays in a document.
const MaxDepth = 32

// MaxFindings bounds the findings that Decode reports one by one. A large document
// that is passed by mistake can have hundreds of thousands of them.
const MaxFindings = 100

// Finding is one error in a document.
type Finding struct {
	Path    string `json:"path"`    // such as $.services[0].name
	Found   string `json:"found"`   // the value or kind found there
	Allowed string `json:"allowed"` // the values allowed there
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", f.Path, f.Found, f.Allowed)
}

// member is one field of an object.
type member struct {
	name  string
	value any // as readValue returns it
}

// object is a parsed JSON object. It holds its members in the order of the document
// and, unlike a map, keeps repeated names.
type object []member

// Decode reads data into the struct that into points to and returns the errors
// found, at most MaxFindings and one that counts the rest. Only fields with a json
// tag are decoded; those without omitempty are required. Fields may be strings,
// bools, numbers, structs and slices of these; Decode may panic on other types. If
// there are findings, the content of into is undefined.
func Decode(data []byte, into any) []Finding {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	tree, err := readValue(dec, 0)
	if err == nil {
		err = expectEOF(dec)
	}
	if err != nil {
		found := fmt.Sprintf("%v near byte %d", err, dec.InputOffset())
		return []Finding{{Path: "$", Found: found, Allowed: "one JSON document"}}
	}
	d := &decoder{}
	d.decode("$", tree, reflect.ValueOf(into).Elem())
	return d.allFindings()
}

// expectEOF returns an error unless dec has read its whole input.
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

// readValue reads the next value as nil, a bool, string, json.Number, object or
// []any. Depth counts the objects and arrays around it; more than MaxDepth is an error.
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

// readObject reads the members of an object whose opening brace has been read.
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

// readArray reads the items of an array whose opening bracket has been read.
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

// decoder copies a parsed document into Go values and collects findings.
type decoder struct {
	findings []Finding
	omitted  int // number of findings beyond MaxFindings, which are not kept
}

// add adds a finding, or only counts it if there are MaxFindings already.
func (d *decoder) add(path, found, allowed string) {
	if len(d.findings) >= MaxFindings {
		d.omitted++
		return
	}
	d.findings = append(d.findings, Finding{Path: path, Found: found, Allowed: allowed})
}

// allFindings returns the findings and, if some were omitted, one more that states
// their number.
func (d *decoder) allFindings() []Finding {
	if d.omitted > 0 {
		return append(d.findings, Finding{Path: "$", Found: fmt.Sprintf("%d findings more", d.omitted), Allowed: "none"})
	}
	return d.findings
}

// decode sets v to node, a value that readValue returned. It adds a finding for each
// error; path is the path of node in the document.
func (d *decoder) decode(path string, node any, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, node, v)
	case reflect.Slice:
		d.decodeSlice(path, node, v)
	case reflect.String:
		s, ok := node.(string)
		if !ok {
			d.add(path, describe(node), "a string")
			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := node.(bool)
		if !ok {
			d.add(path, describe(node), "true or false")
			return
		}
		v.SetBool(b)
	default:
		d.decodeNumber(path, node, v)
	}
}

// decodeNumber sets v, which has a number type, to node. It adds a finding if node is
// no number or out of the range of v's type, and panics if v has no number type.
func (d *decoder) decodeNumber(path string, node any, v reflect.Value) {
	num, ok := node.(json.Number)
	if !ok {
		d.add(path, describe(node), "a number")
		return
	}
	text := num.String()
	switch {
	case v.CanInt():
		n, err := strconv.ParseInt(text, 10, v.Type().Bits())
		if err != nil {
			d.add(path, text, "a whole number")
			return
		}
		v.SetInt(n)
	case v.CanUint():
		n, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			d.add(path, text, "a whole number from 0")
			return
		}
		v.SetUint(n)
	case v.CanFloat():
		f, err := strconv.ParseFloat(text, v.Type().Bits())
		if err != nil {
			d.add(path, text, "a number")
			return
		}
		v.SetFloat(f)
	default:
		panic("strictjson: type not supported: " + v.Type().String())
	}
}

// decodeSlice sets v, a slice, to the items of node. It adds a finding if node is no
// array.
func (d *decoder) decodeSlice(path string, node any, v reflect.Value) {
	list, ok := node.([]any)
	if !ok {
		d.add(path, describe(node), "an array")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, item := range list {
		d.decode(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}

// decodeStruct sets the fields of v, a struct, to the members of node. It adds a
// finding if node is no object, and one for each unknown, repeated or missing member.
func (d *decoder) decodeStruct(path string, node any, v reflect.Value) {
	obj, ok := node.(object)
	if !ok {
		d.add(path, describe(node), "an object")
		return
	}
	fields, names := fieldsOf(v.Type())
	seen := map[string]bool{}
	for _, m := range obj {
		memberPath := path + "." + m.name
		field, known := fields[m.name]
		switch {
		case !known:
			d.add(memberPath, "an unknown field", "one of "+strings.Join(names, ", "))
		case seen[m.name]:
			d.add(memberPath, "the field twice", "the field once")
		default:
			seen[m.name] = true
			d.decode(memberPath, m.value, v.Field(field.index))
		}
	}
	for _, name := range names {
		if !seen[name] && !fields[name].optional {
			d.add(path+"."+name, "nothing", "a value; the field is required")
		}
	}
}

// field is a struct field that a member of an object is decoded into.
type field struct {
	index    int  // of the field in the struct, for reflect.Value.Field
	optional bool // has omitempty; the member may be missing
}

// fieldsOf returns the fields of the struct type t that have a json tag, by the name in
// the tag, and these names in the order of the fields.
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

// describe returns the text of a value that readValue returned, for Finding.Found: a
// scalar's value, or the kind of an array or object.
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
