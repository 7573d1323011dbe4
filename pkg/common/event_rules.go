package common

// Events of rules and operators.
const (
	EventRulesAccepted        Event = "E4001" // a revision of the rules is in force in this process
	EventRulesRefused         Event = "E4002" // an entry of the rules stream was refused because another one was accepted first: its base is not the revision accepted last; if an operator published it, it must be published again on the newest revision
	EventRulesMalformed       Event = "E4003" // an entry of the rules stream could not be decoded or does not fit its base, and is ignored; find out who writes to the stream
	EventRulesIgnored         Event = "E4004" // lines of the rules are unknown to this version of the software and are ignored; update the process or correct the rules file
	EventRulesLogDown         Event = "E4005" // the rules stream cannot be read; the rules in force stay in force; check the log service if E4006 does not follow
	EventRulesLogUp           Event = "E4006" // the rules stream can be read again after E4005
	EventRulesGap             Event = "E4007" // entries of the rules stream were removed by retention before this process read them; it gets the rules from a peer or from two later entries
	EventRulesAdopted         Event = "E4008" // this process got the rules in force from a peer
	EventRulesRepublished     Event = "E4009" // the rules in force were appended to the stream again, so that retention does not remove them
	EventRulesRepublishFailed Event = "E4010" // the rules in force could not be appended to the stream again; this is retried; check the log service if it recurs
)
