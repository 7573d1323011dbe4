package plan

import "github.com/oleanderline/oleanderline"

// OrderKind tells what an order does.
type OrderKind int

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is one call to a worker.
type Order struct {
	Kind       OrderKind
	Worker     oleanderline.WorkerID
	Life       oleanderline.WorkerLife
	Key        oleanderline.RunKey
	Payload    string
	Checkpoint string
	Ticket     string
	Percent    int
}

// Result tells how an order ended.
type Result struct {
	Order Order
	Err   error
	// Attempts counts the calls. If there was more than one, an earlier one may still be carried out.
	Attempts int
}

// NoteKind tells what was decided.
type NoteKind int

// Kinds of notes.
const (
	NoteStart NoteKind = iota
	NoteEnd
	NoteStop
	NoteLost
	NoteJob
	NoteWorker
	NotePace
)

// Note is a decision to log.
type Note struct {
	Kind   NoteKind
	Run    oleanderline.RunKey
	Worker oleanderline.WorkerID
	Reason string
}
