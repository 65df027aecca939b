package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

func init() {
	register(command{
		under: "contract", name: "put", short: "Create or change a contract",
		long: "Create or change the contract in FILE (TOML). --expect names the version that the change was made from " +
			"(0 for a new contract). After a lost answer, send the change again with the same --change ID: it is applied once.",
		data: func(env *Env) any { return &contractPut{env: env} },
	})
}

type contractPut struct {
	operator
	env    *Env
	Expect uint64 `long:"expect" value-name:"VERSION" default:"0" description:"version that the change was made from"`
	Change string `long:"change" value-name:"ID" description:"ID of the change; a new one if not given"`
	Author string `long:"author" value-name:"NAME" description:"who makes the change; else the name of the user"`
	Wait   bool   `long:"wait" description:"return once the change is in force everywhere"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *contractPut) Execute([]string) error {
	k, err := loadContract(c.Args.File)
	if err != nil {
		return err
	}
	ch := admin.Change{ChangeID: c.Change, BaseVersion: c.Expect, Author: c.Author, Wait: c.Wait, Contract: k}
	if ch.ChangeID == "" {
		ch.ChangeID = uuid.NewString()
	}
	if ch.Author == "" {
		ch.Author = userName()
	}
	status, body, err := c.call(http.MethodPut, "/v1/contracts/"+k.Customer, ch)
	if err != nil {
		return fmt.Errorf("%w (send it again with --change %s)", err, ch.ChangeID)
	}
	return printChanged(c.env, status, body)
}

// loadContract reads and checks a contract file; an unknown key is an error.
func loadContract(file string) (contr.Contract, error) {
	var k contr.Contract
	text, err := os.ReadFile(file)
	if err != nil {
		return k, fmt.Errorf("read contract: %w", err)
	}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&k); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return k, fmt.Errorf("%s: unknown key:\n%s", file, strict.String())
		}
		return k, fmt.Errorf("%s: %w", file, err)
	}
	if err := k.Check(); err != nil {
		return k, fmt.Errorf("%s: %w", file, err)
	}
	return k, nil
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// printChanged prints what became of a change; one that was not accepted is an error.
func printChanged(env *Env, status int, body []byte) error {
	var out admin.ChangeResult
	if err := json.Unmarshal(body, &out); err != nil {
		return fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	switch out.Code {
	case ctrl.OK:
		_, err := fmt.Fprintf(env.Out, "accepted version=%d change=%s", out.Version, out.ChangeID)
		if err == nil && out.InstanceCount > 0 {
			_, err = fmt.Fprintf(env.Out, " in-force-on=%d after=%s", out.InstanceCount, out.Waited)
		}
		_, _ = fmt.Fprintln(env.Out)
		return err
	case ctrl.Conflict:
		return fmt.Errorf("conflict: the contract is at version %d by %s; make the change anew from that", out.Version, out.Author)
	}
	return fmt.Errorf("%s: %s", out.Code, out.Reason)
}
