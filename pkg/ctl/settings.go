package ctl

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Settings holds the arguments of oleanderctl.
type Settings struct {
	Check   *CheckCommand   `arg:"subcommand:check" help:"report all errors and warnings about a rules file"`
	Show    *ShowCommand    `arg:"subcommand:show" help:"print the rules in force, with their revision in the first line"`
	Diff    *DiffCommand    `arg:"subcommand:diff" help:"compare a rules file with the rules in force, or with another file"`
	Publish *PublishCommand `arg:"subcommand:publish" help:"publish a rules file, which puts it in force"`
	Status  *StatusCommand  `arg:"subcommand:status" help:"show the own VMs, their shards and workers, the rules and the log service"`
	Why     *WhyCommand     `arg:"subcommand:why" help:"explain the state of a task"`
	Cell    *CellCommand    `arg:"subcommand:cell" help:"show the nodes of a cell and the burn rates of its error budgets"`
	Account *AccountCommand `arg:"subcommand:account" help:"show from the nodes' logs for what tasks waited, and what they ran in vain"`
	Burn    *BurnCommand    `arg:"subcommand:burn" help:"show the burn rates of the error budgets of the slo rules"`

	Key        string        `arg:"--key,env:OLEANDER_KEY" help:"shared key of the operator listeners" placeholder:"KEY"`
	Operators  AddressList   `arg:"--operators,env:OLEANDER_OPERATORS" help:"operator listeners of the own VMs, separated by commas" placeholder:"IP:PORT,..."`
	LogService string        `arg:"--log-service,env:OLEANDER_LOG_SERVICE" help:"base URL of the log service" placeholder:"URL"`
	Timeout    time.Duration `arg:"--timeout,env:OLEANDER_TIMEOUT" help:"time limit of the whole command" placeholder:"TIME"`
}

// Description implements the interface of go-arg.
func (Settings) Description() string {
	return "oleanderctl checks, shows, compares and publishes the rules, and shows the state of the own VMs."
}

// Epilogue implements the interface of go-arg.
func (Settings) Epilogue() string {
	return `Exit codes:
  0  done
  1  failure: nothing was changed, or the requested information could not be shown
  2  invalid arguments or settings, or rules with errors
  3  conflict: the base is not the newest revision; nothing was published
  4  outcome unknown: the file may or may not be published

"oleanderctl COMMAND --help" shows the arguments of a command. See docs/rules.md and docs/OPERATIONS.md.`
}

// CheckCommand holds the arguments of check.
type CheckCommand struct {
	File string `arg:"positional,required" help:"rules file, or - for standard input"`
}

// ShowCommand holds the arguments of show.
type ShowCommand struct {
	Out string `arg:"--out" help:"write to this file instead of standard output" placeholder:"FILE"`
}

// DiffCommand holds the arguments of diff.
type DiffCommand struct {
	From string `arg:"positional,required" help:"rules file, or - for standard input"`
	To   string `arg:"positional" help:"second file; without it, the changes from the rules in force to the first file are shown"`
}

// PublishCommand holds the arguments of publish.
type PublishCommand struct {
	File  string `arg:"positional,required" help:"rules file, or - for standard input"`
	Base  *int64 `arg:"--base" help:"revision that the file is based on [default: the revision in the first line, which show writes]" placeholder:"REVISION"`
	By    string `arg:"--by,env:USER" help:"name of the publisher" placeholder:"NAME"`
	ID    string `arg:"--id" help:"id of an earlier attempt whose outcome is unknown" placeholder:"ID"`
	Begin bool   `arg:"--begin" help:"publish even if neither the own VMs nor the rules stream have the newest revision; read docs/OPERATIONS.md first"`
	Wait  bool   `arg:"--wait" help:"wait until every own VM has the revision in force"`
}

// StatusCommand has no arguments.
type StatusCommand struct{}

// WhyCommand holds the arguments of why.
type WhyCommand struct {
	Task oleanderline.TaskID `arg:"positional,required" help:"task, in the form JOB/INDEX"`
}

// CellCommand holds the arguments of cell.
type CellCommand struct {
	Nodes  AddressList `arg:"--nodes,env:OLEANDER_NODES" help:"metrics listeners of the nodes, separated by commas" placeholder:"IP:PORT,..."`
	Target float64     `arg:"--target" help:"promised share of jobs in time, and of the time of long-running tasks within target" default:"0.95"`
}

// BurnCommand holds the arguments of burn.
type BurnCommand struct {
	JSON bool   `arg:"--json" help:"print JSON instead of text"`
	HTML string `arg:"--html" help:"write an HTML page to this file instead" placeholder:"FILE"`
}

// AccountCommand holds the arguments of account.
type AccountCommand struct {
	Logs   []string      `arg:"positional,required" help:"logs of the nodes, or - for standard input" placeholder:"LOG"`
	Job    string        `arg:"--job" help:"show the runs of this job instead" placeholder:"ID"`
	Period time.Duration `arg:"--period" help:"length of the periods into which the time is divided" default:"2s" placeholder:"TIME"`
	JSON   bool          `arg:"--json" help:"print JSON instead of text"`
}

// AddressList is a list of IP:PORT separated by commas.
type AddressList []string

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *AddressList) UnmarshalText(text []byte) error {
	*l = nil
	for _, address := range strings.Split(string(text), ",") {
		if address = strings.TrimSpace(address); address != "" {
			*l = append(*l, address)
		}
	}
	return nil
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{Timeout: 30 * time.Second}
}

// Validate returns an error for every setting that is invalid, or that is missing although the command needs it.
func (s *Settings) Validate() error {
	errs := []error{s.validateTimeout(), s.validateLogService()}
	for i, address := range s.Operators {
		errs = append(errs, common.CheckAddress("--operators", address))
		if slices.Contains(s.Operators[:i], address) {
			errs = append(errs, fmt.Errorf("--operators=%q: is given twice", address))
		}
	}
	if len(s.Operators) > 0 && s.Key == "" {
		errs = append(errs, errors.New("--key: is empty; the operator listeners need the shared key (or OLEANDER_KEY)"))
	}
	if len(s.Operators) == 0 && (s.Status != nil || s.Why != nil || s.Burn != nil) {
		errs = append(errs, errors.New("--operators: is empty; want IP:PORT,... of the operator listeners (or OLEANDER_OPERATORS)"))
	}
	if s.Burn != nil && s.Burn.JSON && s.Burn.HTML != "" {
		errs = append(errs, errors.New("--html: is given beside --json; want one of them"))
	}
	if s.Cell != nil {
		errs = append(errs, s.Cell.validate())
	}
	if s.Publish != nil {
		errs = append(errs, s.validatePublish())
	}
	if s.Account != nil && s.Account.Period < time.Millisecond {
		errs = append(errs, fmt.Errorf("--period=%q: want at least 1ms", s.Account.Period))
	}
	return errors.Join(errs...)
}

func (c *CellCommand) validate() error {
	var errs []error
	if len(c.Nodes) == 0 {
		errs = append(errs, errors.New("--nodes: is empty; want IP:PORT,... of the metrics listeners (or OLEANDER_NODES)"))
	}
	for _, address := range c.Nodes {
		errs = append(errs, common.CheckAddress("--nodes", address))
	}
	if c.Target <= 0 || c.Target >= 1 {
		errs = append(errs, fmt.Errorf("--target=%v: want a share above 0 and below 1", c.Target))
	}
	return errors.Join(errs...)
}

func (s *Settings) validateTimeout() error {
	if s.Timeout <= 0 || s.Timeout > time.Hour {
		return fmt.Errorf("--timeout=%q: want a time above 0 and up to 1h", s.Timeout)
	}
	return nil
}

func (s *Settings) validateLogService() error {
	needed := s.Show != nil || s.Publish != nil || (s.Diff != nil && s.Diff.To == "")
	if s.LogService == "" {
		if needed {
			return errors.New("--log-service: is empty; want a base URL, such as http://10.0.0.9:7000 (or OLEANDER_LOG_SERVICE)")
		}
		return nil
	}
	u, err := url.Parse(s.LogService)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("--log-service=%q: want a base URL, such as http://10.0.0.9:7000", s.LogService)
	}
	return nil
}

func (s *Settings) validatePublish() error {
	var errs []error
	if s.Publish.By == "" {
		errs = append(errs, errors.New("--by: is empty; want the name of who publishes (or USER)"))
	}
	if s.Publish.Base != nil && *s.Publish.Base < 0 {
		errs = append(errs, fmt.Errorf("--base=%d: want a revision, from 0", *s.Publish.Base))
	}
	if s.Publish.Wait && len(s.Operators) == 0 {
		errs = append(errs, errors.New("--operators: is empty; --wait asks the own VMs for their revision"))
	}
	return errors.Join(errs...)
}
