package detour

import (
	"bytes"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestInvalidFieldNameIsPassedOn guards against the head of an answer with an invalid field name that an instance with an older build,
// which does not check it, passes on.
func TestInvalidFieldNameIsPassedOn(t *testing.T) {
	for _, name := range []string{"", "a b", "a ", "a\x00"} {
		Convey("a head with the field name "+name+" is refused", t, func() {
			var b bytes.Buffer
			So(WriteFrame(&b, &Head{Status: http.StatusOK, Header: http.Header{name: {"x"}}}), ShouldBeNil)
			So(ReadFrame(&b, &Head{}), ShouldNotBeNil)
		})
	}
}
