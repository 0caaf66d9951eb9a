// Package defaults sets the default values of options that are unset.
package defaults

// SetIfZero sets the field to value if it has its type's zero value.
func SetIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetIfNotPositive sets the field to value unless it is greater than zero.
func SetIfNotPositive[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
