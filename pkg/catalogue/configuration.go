package catalogue

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/oleanderline/oleanderline/pkg/ctl"
	"github.com/oleanderline/oleanderline/pkg/entry"
	"github.com/oleanderline/oleanderline/pkg/sched"
)

// Configuration returns the page of the settings, from the tags and defaults of the programs' Settings.
func Configuration() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" + notice)
	b.WriteString("Each setting is a flag or an environment variable; the flag wins. A setting that is not allowed ends the\n" +
		"program with exit code 2 before it does anything.\n")
	for _, program := range []struct {
		name     string
		settings any
	}{
		{"oleander-entry", entry.DefaultSettings()},
		{"oleander-sched", sched.DefaultSettings()},
		{"oleanderctl", ctl.DefaultSettings()},
	} {
		fmt.Fprintf(&b, "\n## %s\n", program.name)
		settings(&b, reflect.ValueOf(program.settings))
	}
	return b.String()
}

const settingsHead = "| setting | environment | default | meaning |\n|---|---|---|---|\n"

// settings writes the table of a struct, and then one for each of its commands.
func settings(b *strings.Builder, value reflect.Value) {
	var commands []reflect.StructField
	var rows strings.Builder
	for _, field := range reflect.VisibleFields(value.Type()) {
		if field.Anonymous {
			continue // its fields are visible by themselves
		}
		flag, env, command := parseTag(field.Tag.Get("arg"))
		switch {
		case command != "":
			commands = append(commands, field)
		case flag != "":
			rows.WriteString(row("`"+flag+"`", code(env), defaultOf(value.FieldByIndex(field.Index)), field.Tag.Get("help")))
		default:
			rows.WriteString(row(strings.ToUpper(field.Name), "", "", field.Tag.Get("help")))
		}
	}
	if rows.Len() > 0 {
		b.WriteString("\n" + settingsHead + rows.String())
	}
	for _, field := range commands {
		_, _, command := parseTag(field.Tag.Get("arg"))
		fmt.Fprintf(b, "\n### %s\n\n%s\n", command, field.Tag.Get("help"))
		settings(b, reflect.Zero(field.Type.Elem()))
	}
}

// parseTag reads a tag of go-arg.
func parseTag(tag string) (flag, env, command string) {
	for _, part := range strings.Split(tag, ",") {
		switch {
		case strings.HasPrefix(part, "--"):
			flag = part
		case strings.HasPrefix(part, "env:"):
			env = strings.TrimPrefix(part, "env:")
		case strings.HasPrefix(part, "subcommand:"):
			command = strings.TrimPrefix(part, "subcommand:")
		}
	}
	return flag, env, command
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

func defaultOf(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	return code(fmt.Sprint(value.Interface()))
}
