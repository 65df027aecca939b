package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

const operatorTimeout = 20 * time.Second

// operator is the options of a command that talks to an instance, and how it does.
type operator struct {
	Address string `long:"address" value-name:"HOST:PORT" default:"127.0.0.1:8081" env:"GREENGAGEWHEEL_ADDRESS" description:"operators' address of an instance"`
	Key     string `long:"key-file" value-name:"FILE" description:"file that holds the operator key; else GREENGAGEWHEEL_KEY is taken"`
}

// key returns the operator key from its file or the environment.
func (o *operator) key() (string, error) {
	if o.Key == "" {
		return os.Getenv("GREENGAGEWHEEL_KEY"), nil
	}
	data, err := os.ReadFile(o.Key)
	if err != nil {
		return "", fault.At("read key", "", err)
	}
	return string(bytes.TrimSpace(data)), nil
}

// call sends a request to the instance and returns the status and body of its answer.
func (o *operator) call(method, path string, body any) (int, []byte, error) {
	key, err := o.key()
	if err != nil {
		return 0, nil, err
	}
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	q, err := http.NewRequest(method, "http://"+o.Address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: operatorTimeout}).Do(q)
	if err != nil {
		return 0, nil, fault.At("call", o.Address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// get decodes the answer to a GET into v.
func (o *operator) get(path string, v any) error {
	status, body, err := o.call(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fault.New("call", o.Address, "status %d: %s", status, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fault.At("decode", o.Address, err)
	}
	return nil
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}
