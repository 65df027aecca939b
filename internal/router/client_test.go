package router

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/gofiber/fiber/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// TestSlowOperatorIsRefusedForGood guards against a body that came too slowly and is refused as if it were faulty.
func TestSlowOperatorIsRefusedForGood(t *testing.T) {
	Convey("a body whose reading timed out is answered with 408 and when to come back", t, func() {
		app := fiber.New()
		app.Post("/", func(c *fiber.Ctx) error { return refuseOperator(c, os.ErrDeadlineExceeded) })
		resp, err := app.Test(httptest.NewRequest(http.MethodPost, "/", nil))
		So(err, ShouldBeNil)
		So(resp.Body.Close(), ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusRequestTimeout)
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(resp.Close, ShouldBeTrue)
	})
}
