// Package defaults fills in what an options struct leaves out.
package defaults

// Set gives field the value if it has its type's zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Positive gives field the value unless it is greater than zero.
func Positive[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
