package pooling

import (
	"cmp"
	"slices"
	"strings"
)

// SettingsDifference returns a query string with the statements that change a
// connection's settings from one state to another, "" if the states are equal.
// Both map names to values as SQL, outside any transaction. The session's user is
// changed first and then the role, since the other settings depend on them.
func SettingsDifference(from, to map[string]string) string {
	names := changedNames(from, to)
	slices.SortFunc(names, func(a, b string) int {
		if order := cmp.Compare(settingRank(a), settingRank(b)); order != 0 {
			return order
		}
		return strings.Compare(a, b)
	})
	statements := make([]string, len(names))
	for i, name := range names {
		value, ok := to[name]
		if ok {
			statements[i] = setStatement(name, value)
		} else {
			statements[i] = "RESET " + settingSQL(name)
		}
	}
	return strings.Join(statements, "; ")
}

// changedNames returns the names of the settings that differ, in unspecified
// order.
func changedNames(from, to map[string]string) (names []string) {
	for name, value := range to {
		if old, ok := from[name]; !ok || old != value {
			names = append(names, name)
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// settingRank orders settings so that each comes after those on which it
// depends.
func settingRank(name string) int {
	switch name {
	case "session_authorization":
		return 0
	case "role":
		return 1
	}
	return 2
}

// setStatement returns the statement that sets a setting to a value, which is
// given as SQL.
func setStatement(name, value string) string {
	switch name {
	case "session_authorization":
		return "SET SESSION AUTHORIZATION " + value
	case "role":
		return "SET ROLE " + value
	case "timezone":
		return "SET TIME ZONE " + value
	}
	return "SET " + settingSQL(name) + " TO " + value
}

// settingSQL returns a setting's name as SQL.
func settingSQL(name string) string {
	if name == "session_authorization" {
		return "SESSION AUTHORIZATION"
	}
	parts := strings.Split(name, ".")
	for i, part := range parts {
		if !isPlainIdentifier(part) {
			parts[i] = quoteIdentifier(part)
		}
	}
	return strings.Join(parts, ".")
}

// isPlainIdentifier reports whether an identifier needs no quotes.
func isPlainIdentifier(name string) bool {
	if name == "" || !isLetter(name[0]) {
		return false
	}
	for i := range len(name) {
		if !isLetter(name[i]) && !isDigit(name[i]) {
			return false
		}
	}
	return true
}
