package common

// Events of rules and operators.
const (
	EventRulesAccepted   Event = "E4001" // a revision of the rules is in force at this process
	EventRulesRefused    Event = "E4002" // an entry of the rules stream lost a race: its base is not the revision accepted last
	EventRulesMalformed  Event = "E4003" // an entry of the rules stream is not in the format; find out who writes to the stream
	EventRulesIgnored    Event = "E4004" // lines of the rules are unknown to this version and ignored; update the process or fix the file
	EventRulesLogDown    Event = "E4005" // the rules stream cannot be read; the rules in force stay in force
	EventRulesLogUp      Event = "E4006" // the rules stream can be read again
	EventRulesGap        Event = "E4007" // entries were lost to retention before this process read them; it needs a peer or two later entries
	EventRulesTakenOver  Event = "E4008" // the rules were taken over from a peer
	EventRulesKept       Event = "E4009" // the rules in force were appended again, so that retention does not remove them
	EventRulesKeepFailed Event = "E4010" // the rules in force could not be appended again; it is tried again
)
