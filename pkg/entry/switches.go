package entry

// switches turn single mechanisms off, so that tests can show that they fail without them.
type switches struct {
	noHedge     bool // never send a second copy
	noJoin      bool // ignore idempotency keys
	noLossCheck bool // grant keys whose home has died
	noBackup    bool // store no begin records at backups
	noBound     bool // ignore the bound on connections
}
