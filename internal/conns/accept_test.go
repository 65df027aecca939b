package conns

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/gofiber/fiber/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// failingListener fails with errs before it accepts from inner.
type failingListener struct {
	net.Listener
	errs chan error
}

func (l failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	default:
		return l.Listener.Accept()
	}
}

// TestServerEndsWithoutDescriptors guards against an instance that ends as it has no file descriptor for one more connection.
func TestServerEndsWithoutDescriptors(t *testing.T) {
	Convey("a server answers once descriptors are free again", t, func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		failing := failingListener{inner, make(chan error, 3)}
		failing.errs <- syscall.EMFILE
		failing.errs <- syscall.ECONNABORTED
		failing.errs <- syscall.ENFILE
		retries := 0
		app := fiber.New(fiber.Config{DisableStartupMessage: true})
		app.Get("/", func(c *fiber.Ctx) error { return c.SendString("here") })
		ended := make(chan error, 1)
		go func() { ended <- app.Listener(RetryAccept(failing, func(error) { retries++ })) }()
		status, body, errs := fiber.Get("http://" + inner.Addr().String() + "/").String()
		So(errs, ShouldBeEmpty)
		So(status, ShouldEqual, fiber.StatusOK)
		So(body, ShouldEqual, "here")
		So(retries, ShouldEqual, 3)
		So(app.Shutdown(), ShouldBeNil)
		So(<-ended, ShouldBeNil)
	})
	Convey("other errors are passed on", t, func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(inner.Close(), ShouldBeNil)
		_, err = RetryAccept(inner, func(error) { t.Error("retried") }).Accept()
		So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
	})
}
