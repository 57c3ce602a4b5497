package main

import (
	"fmt"
	"regexp"
	"strings"
)

// render fills in a template of settings as DEPLOY.md describes: values, sections that are
// rendered if there is a value, and sections that are rendered if there is none.
func render(text string, fields map[string]any) string {
	section := regexp.MustCompile(`\{\{([#^])([a-z0-9_.]+)\}\}`)
	for {
		at := section.FindStringSubmatchIndex(text)
		if at == nil {
			break
		}
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		end := "{{/" + name + "}}"
		stop := strings.Index(text[at[1]:], end)
		if stop < 0 {
			panic("template: no end of " + name)
		}
		body := text[at[1] : at[1]+stop]
		value, ok := lookUp(fields, name)
		if present := ok && value != false && value != ""; present != (kind == "#") {
			body = ""
		}
		text = text[:at[0]] + body + text[at[1]+stop+len(end):]
	}
	return regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`).ReplaceAllStringFunc(text, func(m string) string {
		value, ok := lookUp(fields, strings.Trim(m, "{}"))
		if !ok {
			return ""
		}
		if list, isList := value.([]any); isList {
			parts := make([]string, len(list))
			for i, v := range list {
				parts[i] = fmt.Sprint(v)
			}
			return strings.Join(parts, ",")
		}
		return fmt.Sprint(value)
	})
}

func lookUp(fields any, name string) (any, bool) {
	for _, part := range strings.Split(name, ".") {
		switch f := fields.(type) {
		case map[string]any:
			v, ok := f[part]
			if !ok {
				return nil, false
			}
			fields = v
		case []any:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(f) {
				return nil, false
			}
			fields = f[i]
		default:
			return nil, false
		}
	}
	return fields, true
}
