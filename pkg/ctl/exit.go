// Package ctl holds the commands of oleanderctl.
package ctl

// Exit codes of oleanderctl, as documented in docs/rules.md.
const (
	ExitOK      = 0
	ExitFailure = 1 // nothing was changed, or what was asked for could not be shown
	ExitUsage   = 2 // wrong arguments or settings, or rules with errors
	ExitRace    = 3 // another revision than the base was accepted last; nothing was published
	ExitUnknown = 4 // the answer of the log service was lost: the file may be published or not
)
