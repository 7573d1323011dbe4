package common

// Events about clients that exceed what a process holds for them.
const (
	EventClientsClosed Event = "E6080" // connections of clients were closed, because the limit on connections was reached (reason connections), because all of them were being answered (busy), or because the headers of all clients together were too large (header); the fields say how many since the last such line (closed) and how many are open. At most one line in 5 s is logged; look for clients that hold many connections open
	EventBodyRefused   Event = "E6081" // a request was refused or ended, because the memory for large bodies or for jobs that are being stored was used up, or because its body made too little progress; nothing of the request was stored. At most one line in 5 s is logged, and the field refused has the number since the last one; look for clients that do not end their requests, and at the log service if it answers slowly
)
