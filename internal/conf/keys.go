package conf

import (
	"errors"
	"fmt"
)

// minKeyBytes is the smallest allowed length of a key.
const minKeyBytes = 16

// Keys holds the secrets of operators, endpoints and instances. They are never logged.
type Keys struct {
	Operator string `toml:"operator"`
	Endpoint string `toml:"endpoint"`
	Secret   string `toml:"secret"`
}

func (k *Keys) check(mode string) (string, error) {
	if mode == ModeRoutes {
		return k.checkRoutes()
	}
	for _, entry := range []struct{ key, value string }{
		{"operator", k.Operator}, {"endpoint", k.Endpoint}, {"secret", k.Secret},
	} {
		if entry.value == "" {
			return entry.key, errors.New("is missing")
		}
		if len(entry.value) < minKeyBytes {
			return entry.key, fmt.Errorf("is shorter than %d bytes", minKeyBytes)
		}
	}
	return "", nil
}

// checkRoutes checks the secret, the only key that instances use in ModeRoutes.
func (k *Keys) checkRoutes() (string, error) {
	if len(k.Secret) < minKeyBytes {
		return "secret", fmt.Errorf("is missing or shorter than %d bytes", minKeyBytes)
	}
	return "", nil
}
