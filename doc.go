// Package oleanderline defines the ids, units, interfaces and typed results that the daemons and libraries of the
// oleanderline scheduler share. Implementations live in packages below pkg.
package oleanderline
