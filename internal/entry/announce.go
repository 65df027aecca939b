package entry

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const announceTimeout = 5 * time.Second

// decodeAnnouncement decodes an announcement and returns the names of the cells of its models.
func (e *Entry) decodeAnnouncement(body []byte) (announcement endpt.Announcement, cells []string, err error) {
	if err = json.Unmarshal(body, &announcement); err != nil {
		return announcement, nil, err
	}
	for _, model := range announcement.Models {
		cells = append(cells, e.cellName(model))
	}
	return announcement, cells, nil
}

// servedModels returns the names of the models that were ever announced in this region, sorted.
func (e *Entry) servedModels() []string {
	var models []string
	for cellName, kind := range e.opt.View().Cells {
		if model, ok := strings.CutSuffix(cellName, "@"+e.opt.Self.Region); ok && kind == endpt.Engine {
			models = append(models, model)
		}
	}
	sort.Strings(models)
	return models
}
