package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a template of settings as the platform's pages describe it. scopes holds the fields, the innermost last.
func render(template string, scopes ...any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		tag = strings.TrimSpace(tag)
		template = after
		if tag == "" || !strings.ContainsAny(tag[:1], "#^") {
			out.WriteString(renderValue(tag, scopes))
			continue
		}
		inner, after := splitSection(after, tag[1:])
		template = after
		value := lookUp(tag[1:], scopes)
		switch {
		case tag[0] == '^' && isUnset(value):
			out.WriteString(render(inner, scopes...))
		case tag[0] == '#' && !isUnset(value):
			entries, isList := value.([]any)
			if !isList {
				entries = []any{value}
			}
			for _, entry := range entries {
				out.WriteString(render(inner, append(append([]any{}, scopes...), entry)...))
			}
		}
	}
}

// splitSection returns the text up to the end of a section, and the text behind it.
func splitSection(text, name string) (inner, after string) {
	inner, after, _ = strings.Cut(text, "{{/"+name+"}}")
	return strings.TrimPrefix(inner, "\n"), strings.TrimPrefix(after, "\n")
}

func renderValue(tag string, scopes []any) string {
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := lookUp(name, scopes)
	if asJSON {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(data)
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// lookUp finds a field such as a, a.b or a.0; a dot alone is the innermost scope.
func lookUp(name string, scopes []any) any {
	if name == "." {
		return scopes[len(scopes)-1]
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		value := scopes[i]
		for _, step := range strings.Split(name, ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[step]
			case []any:
				n, err := strconv.Atoi(step)
				if err != nil || n >= len(v) {
					value = nil
					break
				}
				value = v[n]
			default:
				value = nil
			}
		}
		if value != nil {
			return value
		}
	}
	return nil
}

func isUnset(value any) bool {
	return value == nil || value == false || value == ""
}
