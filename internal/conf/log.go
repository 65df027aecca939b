package conf

import (
	"fmt"

	"go.uber.org/zap/zapcore"
)

// Log holds the level from which events are logged.
type Log struct {
	Level string `toml:"level"`
}

func (l *Log) check(string) (string, error) {
	if _, err := zapcore.ParseLevel(l.Level); err != nil {
		return "level", fmt.Errorf("%q is not debug, info, warn or error", l.Level)
	}
	return "", nil
}
