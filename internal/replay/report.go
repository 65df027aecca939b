package replay

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

type (
	// ClassReport holds the results of one class's requests.
	ClassReport struct {
		Customer           string         `json:"customer"`
		Class              string         `json:"class"`
		Tier               int            `json:"tier"`
		Sent               int            `json:"sent"`
		Complete           int            `json:"whole"`           // answered in full
		Attained           int            `json:"attained"`        // complete and within both targets
		Mismatched         int            `json:"wrong"`           // answered with another text than expected
		Tokens             int            `json:"tokens"`          // tokens of complete answers
		Codes              map[string]int `json:"codes,omitempty"` // failures by error code
		FirstTokenP50      time.Duration  `json:"first50"`         // median time to the first token
		FirstTokenP95      time.Duration  `json:"first95"`         // 95th percentile of the time to the first token
		TokenIntervalP95   time.Duration  `json:"gap95"`           // 95th percentile of a request's mean time between tokens
		firstTokens        []time.Duration
		meanTokenIntervals []time.Duration
	}

	// Report holds the results of a replay. The engines' counters are polled, so that the tokens that an engine generated between the
	// last poll and its crash are missing.
	Report struct {
		Trace         string         `json:"trace"`
		Elapsed       time.Duration  `json:"took"`
		Classes       []*ClassReport `json:"classes"`
		Sent          int            `json:"sent"`
		Attained      int            `json:"attained"`
		Goodput       float64        `json:"goodput"`   // attained requests per second
		Delivered     int            `json:"delivered"` // tokens of complete answers
		Generated     int            `json:"generated"` // tokens that the engines generated
		Wasted        int            `json:"wasted"`    // generated tokens that are in no complete answer
		DuplicateRuns int            `json:"doubled"`   // repeated runs of calls with an idempotency key
		Prefill       int            `json:"prefill"`   // prompt tokens processed
		Cached        int            `json:"cached"`    // prompt tokens found in the prefix cache
	}
)

// quantile returns the q-quantile of durations, which it sorts in place, or 0 if there are none.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(int(q*float64(len(durations))), len(durations)-1)]
}

// addOutcome adds the outcome of one request to the report.
func (c *ClassReport) addOutcome(o outcome, class trace.Class) {
	c.Sent++
	if o.code != "" {
		c.Codes[o.code]++
	}
	if o.firstTokenTime > 0 {
		c.firstTokens = append(c.firstTokens, o.firstTokenTime)
	}
	if o.meanTokenInterval > 0 {
		c.meanTokenIntervals = append(c.meanTokenIntervals, o.meanTokenInterval)
	}
	if o.mismatched {
		c.Mismatched++
	}
	if !o.complete {
		return
	}
	c.Complete++
	c.Tokens += o.tokens
	firstTokenMet := class.First == 0 || o.firstTokenTime <= class.First.Std()
	tokenIntervalMet := class.Gap == 0 || o.meanTokenInterval <= class.Gap.Std()
	if firstTokenMet && tokenIntervalMet {
		c.Attained++
	}
}

func (c *ClassReport) computeQuantiles() {
	c.FirstTokenP50, c.FirstTokenP95, c.TokenIntervalP95 = quantile(c.firstTokens, 0.5), quantile(c.firstTokens, 0.95),
		quantile(c.meanTokenIntervals, 0.95)
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "TIER\tCUSTOMER\tCLASS\tSENT\tWHOLE\tATTAINED\tWRONG\tFIRST50\tFIRST95\tGAP95\tREFUSED")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(tw, "%d\t%s\t%s\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t%s\t%s\n", c.Tier, c.Customer, c.Class, c.Sent, c.Complete,
			percent(c.Attained, c.Sent), c.Mismatched, formatMillis(c.FirstTokenP50), formatMillis(c.FirstTokenP95),
			formatMillis(c.TokenIntervalP95), formatCodes(c.Codes))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w,
		"sent=%d attained=%d (%.1f%%) goodput=%.1f/s delivered=%d generated=%d wasted=%d (%.1f%%) doubled=%d prefill=%d cached=%d\n",
		r.Sent, r.Attained, percent(r.Attained, r.Sent), r.Goodput, r.Delivered, r.Generated, r.Wasted,
		percent(r.Wasted, r.Generated), r.DuplicateRuns, r.Prefill, r.Cached)
	return err
}

// CountsByTier returns the number of requests sent and attained for each tier.
func (r *Report) CountsByTier() map[int][2]int {
	out := map[int][2]int{}
	for _, c := range r.Classes {
		counts := out[c.Tier]
		out[c.Tier] = [2]int{counts[0] + c.Sent, counts[1] + c.Attained}
	}
	return out
}

// percent returns part as a percentage of whole, or 0 if whole is 0.
func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Milliseconds())
}

func formatCodes(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s=%d ", name, counts[name])
	}
	return text
}
