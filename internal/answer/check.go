package answer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrStatus means that a response has a status that is neither informational nor that of a final response.
var ErrStatus = errors.New("the response has an invalid status")

// Check returns an error and closes the connection of a response if its status is not valid. Requests never ask to switch protocols, so
// the status 101 is not valid.
func Check(resp *http.Response, conn io.Closer) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		_ = conn.Close()
		return fmt.Errorf("%w: %03d", ErrStatus, resp.StatusCode)
	}
	return nil
}
