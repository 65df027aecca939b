package bench

import (
	"fmt"
	"net/http"
	"net/netip"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

func send(a netip.AddrPort, path string) error {
	resp, err := http.Post(fmt.Sprintf("http://%s%s", a, path), "", nil)
	if err != nil {
		return fault.At("order fault", a.String(), err)
	}
	return resp.Body.Close()
}
