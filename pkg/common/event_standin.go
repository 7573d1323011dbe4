package common

// Events of the stand-in platform and the demo.
const (
	EventPlatformUp    Event = "E5001" // the stand-in platform is serving on its listeners
	EventFaultSwitched Event = "E5002" // a fault of the stand-in platform was switched on or off through its control endpoint
)
