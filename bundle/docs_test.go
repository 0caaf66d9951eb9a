package bundle

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestDocNamesEveryField checks that docs/BUNDLES.md names each field of a bundle,
// so that no field is added without its description.
func TestDocNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/BUNDLES.md")
	if err != nil {
		t.Fatal(err)
	}
	forEachField(reflect.TypeFor[Bundle](), func(name string) {
		if !strings.Contains(string(page), "."+name+"`") && !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/BUNDLES.md does not name the field %s", name)
		}
	})
}

// forEachField calls do with the JSON name of each field of the struct typ. For a field
// that is a struct or a list of structs, it calls do with the fields of that struct
// instead.
func forEachField(typ reflect.Type, do func(name string)) {
	for i := range typ.NumField() {
		field := typ.Field(i)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			forEachField(inner, do)
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		do(name)
	}
}
