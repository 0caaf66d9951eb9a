package gateway

import (
	"encoding/base64"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// cursor states where the next browse page begins. It names the snapshot, so that all
// pages of one listing come from the same snapshot.
type cursor struct {
	Search   string `json:"search"`   // name of the search
	Snapshot string `json:"snapshot"` // name of the snapshot
	After    string `json:"after"`    // key of the last item of the previous page
}

// encode returns the cursor as base64 of its JSON form, without padding.
func (c cursor) encode() string {
	raw, _ := json.Marshal(c) // a struct of strings can always be encoded
	return base64.RawURLEncoding.EncodeToString(raw)
}

// decodeCursor decodes a cursor and checks that it belongs to the given search. An
// empty string gives the zero cursor, which begins at the first page.
func decodeCursor(encoded, search string) (cursor, error) {
	if encoded == "" {
		return cursor{}, nil
	}
	var c cursor
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if err == nil {
		err = json.Unmarshal(raw, &c)
	}
	if err != nil || c.Snapshot == "" {
		return cursor{}, result.Errorf(result.BadRequest, "cursor: not issued by this service; send the cursor of an answer unchanged")
	}
	if c.Search != search {
		return cursor{}, result.Errorf(result.BadRequest, "cursor: belongs to search %q, allowed is a cursor of search %q", c.Search, search)
	}
	return c, nil
}
