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

func (k *Keys) check(mode string) (string, error) {
	if mode == ModeRoutes {
		return k.checkRoutes()
	}
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

// checkRoutes checks the only key that instances of this mode use.
func (k *Keys) checkRoutes() (string, error) {
	if len(k.Secret) < minKey {
		return "secret", fmt.Errorf("is missing or shorter than %d bytes", minKey)
	}
	return "", nil
}
