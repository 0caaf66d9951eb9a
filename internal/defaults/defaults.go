// Package defaults fills in what an options struct leaves out.
package defaults

// SetIfZero gives field the value if it has its type's zero value.
func SetIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetIfNotPositive gives field the value unless it is greater than zero.
func SetIfNotPositive[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
