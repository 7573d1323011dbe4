// Package ctl implements the commands of oleanderctl.
package ctl

// Exit codes of oleanderctl, as documented in docs/rules.md.
const (
	ExitOK       = 0
	ExitFailure  = 1 // nothing was changed, or the requested information could not be shown
	ExitUsage    = 2 // invalid arguments or settings, or rules with errors
	ExitConflict = 3 // the base is not the newest revision; nothing was published
	ExitUnknown  = 4 // the answer of the log service was lost; the file may or may not be published
)
