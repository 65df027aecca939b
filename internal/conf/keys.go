package conf

import (
	"errors"
	"fmt"
)

// minKey is the shortest key that the settings allow, in bytes.
const minKey = 16

// Keys holds the secrets of operators, endpoints and instances; they are never logged.
type Keys struct {
	Operator string `toml:"operator"`
	Endpoint string `toml:"endpoint"`
	Secret   string `toml:"secret"`
}

func (k *Keys) check() (string, error) {
	for _, e := range []struct{ key, value string }{
		{"operator", k.Operator}, {"endpoint", k.Endpoint}, {"secret", k.Secret},
	} {
		if e.value == "" {
			return e.key, errors.New("is missing")
		}
		if len(e.value) < minKey {
			return e.key, fmt.Errorf("is shorter than %d bytes", minKey)
		}
	}
	return "", nil
}
