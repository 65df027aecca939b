package answer

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrStatus means that a response has a status that is neither informational nor that of a final response.
var ErrStatus = errors.New("the response has an invalid status")

// CheckStatus returns an error if the status of a response is not valid. Requests never ask to switch protocols, so 101 is not.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return nil
}
