package logs

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of at least the named level to w. It returns an error if the level is unknown.
func New(w io.Writer, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	encoderConf := zap.NewProductionEncoderConfig()
	encoderConf.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoderConf.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConf), zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zap.New(core), nil
}
