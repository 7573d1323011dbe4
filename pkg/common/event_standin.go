package common

// Events of the stand-in platform and the demo.
const (
	EventPlatformUp    Event = "E5001" // the stand-in platform serves on its listeners
	EventFaultSwitched Event = "E5002" // a fault switch of the stand-in platform was set through its control endpoint
)
