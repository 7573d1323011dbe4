package common

// Event is the number of a log event. Each is described in docs/events.md; CI checks that both lists agree.
// E1xxx are common to all programs, E2xxx belong to the entry, E3xxx to the scheduler, E4xxx to rules and operators,
// E5xxx to the stand-in platform.
type Event string

// Events of all programs.
const (
	EventStarted      Event = "E1001" // a daemon serves on its listeners
	EventStopping     Event = "E1002" // a planned stop has begun
	EventStopped      Event = "E1003" // a planned stop is complete
	EventForcedExit   Event = "E1004" // a second signal ended a planned stop early
	EventActorLibrary Event = "E1005" // a warning or error of the actor library
	EventPeerJoined   Event = "E1101" // a peer answers heartbeats
	EventPeerLost     Event = "E1102" // a peer has missed its heartbeats
	EventPeerRefused  Event = "E1103" // a peer connection had a wrong key
	EventVMListFailed Event = "E1104" // the VM list could not be read; the last one is kept
)
