package logs

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of at least the named level to w; an unknown level is an error.
func New(w io.Writer, level string) (*zap.Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(zapcore.AddSync(w)), lv)
	return zap.New(core), nil
}
