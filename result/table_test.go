package result

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// docFile is the page that has to hold the same table as Table.
const docFile = "../docs/RESULT-CODES.md"

// Guards against docs/RESULT-CODES.md that differs from Table. With UPDATE_DOCS=1 in the
// environment the test first writes the file.
func TestDocTableMatchesCode(t *testing.T) {
	want := docPage()
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(docFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docFile)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from result.Table; write it with UPDATE_DOCS=1 go test ./result", docFile)
	}
}

// Guards against two rows of Table with the same code, of which byCode would keep only one.
func TestCodesAreUniqueAndInOrder(t *testing.T) {
	last := Code(0)
	for _, row := range Table {
		if row.Code <= last {
			t.Errorf("code %d follows %d in the table", row.Code, last)
		}
		last = row.Code
	}
}

// Guards against a lost code: CodeOf has to find the code of an Error that another error
// wraps.
func TestCodeOfUnwrapsErrors(t *testing.T) {
	err := fmt.Errorf("outer: %w", Errorf(Conflict, "revision %d", 7))
	if got := CodeOf(err); got != Conflict {
		t.Errorf("CodeOf = %v, want %v", got, Conflict)
	}
}

// docPage returns the text that docs/RESULT-CODES.md should have.
func docPage() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Every answer and every error carries one of these numbers. A number is never given a second meaning.\n")
	b.WriteString("\"Run\" says whether a target ran the request; \"again\" says whether sending the same request again makes sense.\n")
	b.WriteString("The hundreds digit is the class, and the exit status of the command line.\n\n")
	b.WriteString("| code | name | HTTP | run | again | meaning |\n|---|---|---|---|---|---|\n")
	for _, r := range Table {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", r.Code, r.Name, r.HTTP, r.Ran, r.Retry, r.Text)
	}
	return b.String()
}
