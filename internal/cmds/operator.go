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

// operatorTimeout bounds a call to an instance.
const operatorTimeout = 20 * time.Second

// maxAnswerBytes bounds the answer of an instance, in bytes.
const maxAnswerBytes = 64 << 20

// operatorClient holds the options of a command that calls the operators' API of an instance, and makes the calls.
type operatorClient struct {
	Address string `long:"address" value-name:"HOST:PORT" default:"127.0.0.1:8081" env:"GREENGAGEWHEEL_ADDRESS" description:"operators' address of an instance"`
	KeyFile string `long:"key-file" value-name:"FILE" description:"file that holds the operator key; else GREENGAGEWHEEL_KEY is taken"`
}

// key returns the operator key from the key file or, without one, from the environment.
func (o *operatorClient) key() (string, error) {
	if o.KeyFile == "" {
		return os.Getenv("GREENGAGEWHEEL_KEY"), nil
	}
	data, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return "", fault.Wrap("read --key-file", "", err)
	}
	return string(bytes.TrimSpace(data)), nil
}

// call sends a request with a JSON body to the instance and returns the status and body of the answer.
func (o *operatorClient) call(method, path string, body any) (int, []byte, error) {
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
	req, err := http.NewRequest(method, "http://"+o.Address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: operatorTimeout}).Do(req)
	if err != nil {
		return 0, nil, fault.Wrap("call", o.Address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes))
	return resp.StatusCode, respBody, err
}

// get sends a GET request and decodes the JSON answer into v. A status other than 200 is an error.
func (o *operatorClient) get(path string, v any) error {
	status, body, err := o.call(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fault.Errorf("call", o.Address, "status %d: %s", status, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fault.Wrap("decode", o.Address, err)
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
