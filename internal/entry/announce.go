package entry

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const announceTimeout = 5 * time.Second

// announced decodes an announcement and names the cells that it is for.
func (e *Entry) announced(body []byte) (a endpt.Announce, cells []string, err error) {
	if err = json.Unmarshal(body, &a); err != nil {
		return a, nil, err
	}
	for _, m := range a.Models {
		cells = append(cells, e.cell(m))
	}
	return a, cells, nil
}

// served returns the models that were ever announced in this region, by name.
func (e *Entry) served() []string {
	var out []string
	for c, kind := range e.opt.View().Cells {
		if name, ok := strings.CutSuffix(c, "@"+e.opt.Self.Region); ok && kind == endpt.Engine {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
