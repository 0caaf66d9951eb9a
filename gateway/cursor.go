package gateway

import (
	"encoding/base64"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// cursor is where the next browse page begins. It pins the snapshot, so that
// the pages of one listing never mix two.
type cursor struct {
	Search   string `json:"search"`
	Snapshot string `json:"snapshot"`
	After    string `json:"after"`
}

func (c cursor) encode() string {
	// A struct of strings always encodes.
	raw, _ := json.Marshal(c)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// decodeCursor returns the cursor of a page of the given search.
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
		return cursor{}, result.Errorf(result.BadRequest, "cursor: not one that this service gave out; send the cursor of an answer unchanged")
	}
	if c.Search != search {
		return cursor{}, result.Errorf(result.BadRequest, "cursor: belongs to search %q, allowed is one of %q", c.Search, search)
	}
	return c, nil
}
