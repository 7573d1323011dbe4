package common

// Event is the number of a log event. docs/events.md is generated from the comments on the constants, which say when the
// event is logged and what to do; a test of pkg/catalogue checks that the page is up to date. E1xxx are events of all
// programs, E2xxx of the entry, E3xxx of the scheduler, E4xxx of rules and operators, E5xxx of the stand-in platform, E6xxx
// of cell nodes.
type Event string

// Events of all programs.
const (
	EventStarted      Event = "E1001" // the process is serving on its listeners
	EventStopping     Event = "E1002" // a stop signal was received and a planned stop has begun; a second signal ends the process at once
	EventStopped      Event = "E1003" // a planned stop is complete, or the process ended because of the error in the line
	EventForcedExit   Event = "E1004" // a second stop signal ended the process before its planned stop was complete; work in flight was not finished
	EventActorLibrary Event = "E1005" // the actor library logged a warning or an error; the message is the library's own
	EventPeerJoined   Event = "E1101" // a peer answers heartbeats and is a member from now on
	EventPeerLost     Event = "E1102" // no heartbeat of a peer arrived within the heartbeat timeout; unless its stop was planned, check its process and the network
	EventPeerRefused  Event = "E1103" // a connection to the peer or operator listener presented a wrong key and was refused; check who connects and with which key
	EventVMListFailed Event = "E1104" // the VM list could not be read; the last one read stays in use. Logged once until a read succeeds; check the platform's VM list service
)
