package proxy

import (
	"net/http"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

// sharedParts returns the IDs of the parts that other prompts may share, which are all but the last.
func (req *request) sharedParts() []uint64 {
	parts := req.caller.Parts
	if len(parts) == 0 {
		return nil
	}
	var ids []uint64
	for _, part := range parts[:min(len(parts)-1, blame.MaxParts)] {
		if !slices.Contains(ids, part.ID) {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// checkParts rejects a request with a part under which endpoints went down, unless it may try the part.
func (req *request) checkParts() *rejection {
	view := req.proxy.opt.View()
	if len(view.Parts) == 0 || req.trial {
		return nil
	}
	shared := req.sharedParts()
	part, held := view.Parts.Holding(req.service.Name, shared)
	if !held {
		return nil
	}
	rec := view.Parts[part]
	if req.proxy.parts.trialDue(req.proxy.opt.Now(), view, part, shared) &&
		req.proxy.opt.Crashes.TryPart(req.httpReq.Context(), ctrl.PartTrial{Part: part, Number: rec.Trials, RequestID: req.caller.ID}) {
		req.log.Warn("held prompt part tried", zap.String("part", partID(part)), zap.Int("trial", rec.Trials))
		req.trial = true
		return nil
	}
	req.proxy.heldRequests.Add(1)
	req.log.Info("prompt part is held", zap.String("part", partID(part)), zap.String("service", req.service.Name),
		zap.Int("crashes", len(rec.Crashes)))
	return &rejection{
		status: http.StatusServiceUnavailable, reason: "refused: endpoints went down under a part of this prompt",
		retryAfter: quarantineRetryAfter,
	}
}

// markSound records that the answer goes on, which proves the request's parts sound.
func (req *request) markSound() {
	req.sound = true
	shared := req.sharedParts()
	if len(shared) == 0 || req.proxy.opt.Crashes == nil {
		return
	}
	suspected := req.proxy.parts.markSound(req.proxy.opt.Now(), req.proxy.opt.View(), req.service.Name, shared)
	if len(suspected) == 0 {
		return
	}
	req.log.Info("suspected prompt parts answered", zap.Strings("parts", hexIDs(suspected)))
	req.proxy.opt.Crashes.ReportParts(blame.Report{Service: req.service.Name, Parts: suspected, Sound: true})
}

// suspectParts returns the parts under which the endpoint may have gone down, none if the answer went on.
func (req *request) suspectParts() []uint64 {
	if req.sound {
		return nil
	}
	return req.proxy.parts.unproven(req.proxy.opt.Now(), req.service.Name, req.sharedParts())
}

// hexIDs returns the IDs of prompt parts in hexadecimal.
func hexIDs(parts []uint64) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = partID(part)
	}
	return ids
}

func partID(part uint64) string {
	return strconv.FormatUint(part, 16)
}

// partIDs returns the IDs of a prompt's parts in hexadecimal.
func partIDs(parts []place.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = partID(part.ID)
	}
	return ids
}
