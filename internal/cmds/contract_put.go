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
		group: "contract", name: "put", short: "Create or change a contract",
		long: "Create or change the contract in FILE (TOML). --expect gives the version that the change is based on " +
			"(0 for a new contract). If no answer arrives, retry with the same --change ID: the change is applied only once.",
		newData: func(env *Env) any { return &contractPutCmd{env: env} },
	})
}

// contractPutCmd is the command "contract put".
type contractPutCmd struct {
	operatorClient
	env    *Env
	Expect uint64 `long:"expect" value-name:"VERSION" default:"0" description:"version that the change was made from"`
	Change string `long:"change" value-name:"ID" description:"ID of the change; a new one if not given"`
	Author string `long:"author" value-name:"NAME" description:"who makes the change; else the name of the user"`
	Wait   bool   `long:"wait" description:"return once the change is in force everywhere"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute sends the contract in the file to an instance and prints the result.
func (c *contractPutCmd) Execute([]string) error {
	contract, err := loadContract(c.Args.File)
	if err != nil {
		return err
	}
	change := admin.Change{ChangeID: c.Change, BaseVersion: c.Expect, Author: c.Author, Wait: c.Wait, Contract: contract}
	if change.ChangeID == "" {
		change.ChangeID = uuid.NewString()
	}
	if change.Author == "" {
		change.Author = userName()
	}
	status, body, err := c.call(http.MethodPut, "/v1/contracts/"+contract.Customer, change)
	if err != nil {
		return fmt.Errorf("%w (to retry, add --change %s)", err, change.ChangeID)
	}
	return printResult(c.env, status, body)
}

// loadContract reads and validates a contract file. An unknown key is an error.
func loadContract(file string) (contr.Contract, error) {
	var contract contr.Contract
	text, err := os.ReadFile(file)
	if err != nil {
		return contract, fmt.Errorf("read contract: %w", err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&contract); err != nil {
		var unknownKeys *toml.StrictMissingError
		if errors.As(err, &unknownKeys) {
			return contract, fmt.Errorf("%s: unknown key:\n%s", file, unknownKeys.String())
		}
		return contract, fmt.Errorf("%s: %w", file, err)
	}
	if err := contract.Check(); err != nil {
		return contract, fmt.Errorf("%s: %w", file, err)
	}
	return contract, nil
}

// userName returns the name of the user who runs the program, or "unknown".
func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// printResult prints the version of an accepted change, and returns an error for one that was not accepted.
func printResult(env *Env, status int, body []byte) error {
	var result admin.ChangeResult
	if err := json.Unmarshal(body, &result); err != nil {
		return fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	switch result.Code {
	case ctrl.OK:
		_, err := fmt.Fprintf(env.Out, "accepted version=%d change=%s", result.Version, result.ChangeID)
		if err == nil && result.InstanceCount > 0 {
			_, err = fmt.Fprintf(env.Out, " in-force-on=%d after=%s", result.InstanceCount, result.Waited)
		}
		_, _ = fmt.Fprintln(env.Out)
		return err
	case ctrl.Conflict:
		return fmt.Errorf("conflict: the contract is at version %[1]d by %[2]s; redo the change on that version and pass --expect %[1]d",
			result.Version, result.Author)
	}
	return fmt.Errorf("%s: %s", result.Code, result.Reason)
}
