package entry

// disabledMechanisms disables single mechanisms, so that a test can show that it fails without the mechanism.
type disabledMechanisms struct {
	hedging         bool // hedging of idempotent requests
	keyJoin         bool // all handling of idempotency keys
	lossCheck       bool // refusal of keys whose home has failed
	keyBackup       bool // storage of records at backups
	connectionLimit bool // limit of connections to a minion
}
