package config

// Type is the type of a setting's value.
type Type string

// The types of settings.
const (
	TypeText     Type = "text"
	TypeName     Type = "name"     // lower-case letters, digits, ".", "_", "-"
	TypeInteger  Type = "integer"  // an integer without unit
	TypeNumber   Type = "number"   // a decimal number
	TypeBoolean  Type = "boolean"  // yes or no
	TypeDuration Type = "duration" // number with unit: 300ms, 5s, 2m
	TypeSize     Type = "size"     // number with unit: 64KiB, 8MiB
	TypeChoice   Type = "choice"   // one of Choices
	TypeAddress  Type = "address"  // host:port
	TypeIPPort   Type = "ip:port"  // an IP address with a port
	TypeIPPorts  Type = "list of ip:port"
	TypeURL      Type = "url"
	TypePath     Type = "path"   // of an HTTP route
	TypeSHA256   Type = "sha256" // 64 hexadecimal digits
)

// Setting describes one setting of a document or of a daemon.
type Setting struct {
	Section  string // kind of the section
	Key      string
	Type     Type
	Unit     string
	Default  string // empty: none
	Required bool
	Min, Max string // written as values of the type
	Choices  []string
	Doc      string
}

// table is a list of settings, searched by section and key.
type table []Setting

func (t table) find(sectionKind, key string) *Setting {
	for i := range t {
		if t[i].Section == sectionKind && t[i].Key == key {
			return &t[i]
		}
	}
	return nil
}

func (t table) hasSection(kind string) bool {
	for i := range t {
		if t[i].Section == kind {
			return true
		}
	}
	return false
}

// DocumentSettings returns the descriptions of a document's settings.
func DocumentSettings() []Setting { return append([]Setting(nil), documentTable...) }

// DaemonSettingsTable returns the descriptions of a daemon's settings.
func DaemonSettingsTable() []Setting { return append([]Setting(nil), daemonTable...) }
