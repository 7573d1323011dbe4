package ctl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// file is a rules file of an operator.
type file struct {
	name    string
	text    string // without the base line, see rules.AddBase
	base    oleanderline.Revision
	hasBase bool
}

// lineOffset returns the difference between line numbers in the file and in the text.
func (f file) lineOffset() int {
	if f.hasBase {
		return 1
	}
	return 0
}

// read reads a rules file, or standard input if the name is "-".
func (t *Tool) read(name string) (file, error) {
	data, err := t.readBytes(name)
	if err != nil {
		return file{}, fmt.Errorf("read rules: %w", err)
	}
	f := file{name: name}
	f.text, f.base, f.hasBase = rules.CutBase(string(data))
	return f, nil
}

func (t *Tool) readBytes(name string) ([]byte, error) {
	// Bounds the memory, but leaves room for the base line and for at least one byte more than MaxBytes, so that the parser
	// detects a file that is too long.
	const limit = rules.MaxBytes + 100
	if name == "-" {
		return io.ReadAll(io.LimitReader(t.in, limit))
	}
	in, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	return io.ReadAll(io.LimitReader(in, limit))
}

// writeFileAtomic replaces a file. If it fails, the old file is unchanged.
func writeFileAtomic(name, text string) error {
	mode := os.FileMode(0o644)
	if info, err := os.Stat(name); err == nil {
		mode = info.Mode().Perm()
	}
	temp, err := os.CreateTemp(filepath.Dir(name), ".oleanderctl-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temp.Name()) }()
	if _, err := temp.WriteString(text); err != nil {
		_ = temp.Close()
		return err
	}
	if err := temp.Close(); err != nil {
		return err
	}
	if err := os.Chmod(temp.Name(), mode); err != nil {
		return err
	}
	return os.Rename(temp.Name(), name)
}
