package deployment

import "encoding/json"

// registration is the value of a gateway's entry in the store. Earlier versions of the program
// write an empty object.
type registration struct {
	Narrow bool `json:"narrow,omitempty"`
}

// EncodeRegistration returns the value of a gateway's entry in the store.
func EncodeRegistration(narrow bool) []byte {
	value, err := json.Marshal(registration{Narrow: narrow})
	if err != nil {
		panic(err) // the type has nothing that can't be encoded
	}
	return value
}

// IsNarrow reports whether the value of a gateway's entry says that its link is narrow. One that
// can't be read does not.
func IsNarrow(value []byte) bool {
	var r registration
	return json.Unmarshal(value, &r) == nil && r.Narrow
}
