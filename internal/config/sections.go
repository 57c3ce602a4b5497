package config

// Section is a section of a document as written.
type Section struct {
	Name   string // kind and title, such as "route chat"
	Line   int
	Fields []Field
}

// Field is a setting of a section as written.
type Field struct {
	Key   string
	Value string
	Line  int
}

// Sections returns the sections of a document in the order of the text. It skips what
// Parse reports as unreadable.
func Sections(text []byte) []Section {
	var ignored Faults
	read := readINI(text, "", &ignored)
	sections := make([]Section, 0, len(read))
	for _, s := range read {
		section := Section{Name: s.name(), Line: s.line}
		for _, e := range s.entries {
			section.Fields = append(section.Fields, Field{e.key, e.value, e.line})
		}
		sections = append(sections, section)
	}
	return sections
}
