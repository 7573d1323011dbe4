package catalogue

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/oleanderline/oleanderline/pkg/ctl"
	"github.com/oleanderline/oleanderline/pkg/entry"
	"github.com/oleanderline/oleanderline/pkg/sched"
)

// Configuration returns the settings page, generated from the struct tags and defaults of the programs' Settings.
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
		writeSettings(&b, reflect.ValueOf(program.settings))
	}
	return b.String()
}

const settingsHeader = "| setting | environment | default | meaning |\n|---|---|---|---|\n"

// writeSettings writes a table of the settings of a struct, and then one for each of its subcommands.
func writeSettings(b *strings.Builder, value reflect.Value) {
	var commands []reflect.StructField
	var rows strings.Builder
	for _, field := range reflect.VisibleFields(value.Type()) {
		if field.Anonymous {
			continue // VisibleFields also returns its fields
		}
		flag, env, command := parseTag(field.Tag.Get("arg"))
		switch {
		case command != "":
			commands = append(commands, field)
		case flag != "":
			rows.WriteString(tableRow("`"+flag+"`", inlineCode(env), formatDefault(value.FieldByIndex(field.Index)), field.Tag.Get("help")))
		default:
			rows.WriteString(tableRow(strings.ToUpper(field.Name), "", "", field.Tag.Get("help")))
		}
	}
	if rows.Len() > 0 {
		b.WriteString("\n" + settingsHeader + rows.String())
	}
	for _, field := range commands {
		_, _, command := parseTag(field.Tag.Get("arg"))
		fmt.Fprintf(b, "\n### %s\n\n%s\n", command, field.Tag.Get("help"))
		writeSettings(b, reflect.Zero(field.Type.Elem()))
	}
}

// parseTag parses an arg tag of go-arg.
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

func inlineCode(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

func formatDefault(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	return inlineCode(fmt.Sprint(value.Interface()))
}
