// Package defaults sets the default values of options that are unset.
package defaults

// SetIfZero sets the field to value if the field has its type's zero value.
func SetIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetIfNotPositive sets the field to value if the field is zero or less.
func SetIfNotPositive[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
