package routing

import (
	"errors"
	"fmt"
)

// InvalidManifestError says that a manifest can't be put in force, so that the version before stays
// in force. It holds no API key.
type InvalidManifestError struct {
	Version  int64 // that the manifest states, 0 if it states none
	Revision int64 // of the store, at which the manifest was written
	Cause    error // names the fault
}

// Error implements error.
func (e *InvalidManifestError) Error() string {
	return fmt.Sprintf("invalid manifest, version %d: %v", e.Version, e.Cause)
}

// Unwrap returns what is wrong with the manifest.
func (e *InvalidManifestError) Unwrap() error { return e.Cause }

// AsInvalid returns the InvalidManifestError in err, nil if there is none.
func AsInvalid(err error) *InvalidManifestError {
	var invalid *InvalidManifestError
	if errors.As(err, &invalid) {
		return invalid
	}
	return nil
}
