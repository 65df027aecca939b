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
	// ClassReport is what became of one class's requests; Attained counts those within both targets.
	ClassReport struct {
		Customer string         `json:"customer"`
		Class    string         `json:"class"`
		Tier     int            `json:"tier"`
		Sent     int            `json:"sent"`
		Whole    int            `json:"whole"`
		Attained int            `json:"attained"`
		Wrong    int            `json:"wrong"`
		Tokens   int            `json:"tokens"`
		Codes    map[string]int `json:"codes,omitempty"`
		First50  time.Duration  `json:"first50"`
		First95  time.Duration  `json:"first95"`
		Gap95    time.Duration  `json:"gap95"`
		firsts   []time.Duration
		gaps     []time.Duration
	}

	// Report is what a replay measured; Wasted counts generated tokens that are in no whole answer that a caller got.
	// What an engine generated between the last look at its counters and its crash is not counted.
	Report struct {
		Trace     string         `json:"trace"`
		Took      time.Duration  `json:"took"`
		Classes   []*ClassReport `json:"classes"`
		Sent      int            `json:"sent"`
		Attained  int            `json:"attained"`
		Goodput   float64        `json:"goodput"`
		Delivered int            `json:"delivered"`
		Generated int            `json:"generated"`
		Wasted    int            `json:"wasted"`
		Doubled   int            `json:"doubled"`
		Prefill   int            `json:"prefill"`
		Cached    int            `json:"cached"`
	}
)

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds[min(int(q*float64(len(ds))), len(ds)-1)]
}

// add books one request's outcome.
func (c *ClassReport) add(o outcome, target trace.Class) {
	c.Sent++
	if o.code != "" {
		c.Codes[o.code]++
	}
	if o.first > 0 {
		c.firsts = append(c.firsts, o.first)
	}
	if o.gap > 0 {
		c.gaps = append(c.gaps, o.gap)
	}
	if o.wrong {
		c.Wrong++
	}
	if !o.whole {
		return
	}
	c.Whole++
	c.Tokens += o.tokens
	inFirst := target.First == 0 || o.first <= target.First.Std()
	inGap := target.Gap == 0 || o.gap <= target.Gap.Std()
	if inFirst && inGap {
		c.Attained++
	}
}

func (c *ClassReport) close() {
	c.First50, c.First95, c.Gap95 = quantile(c.firsts, 0.5), quantile(c.firsts, 0.95), quantile(c.gaps, 0.95)
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "TIER\tCUSTOMER\tCLASS\tSENT\tWHOLE\tATTAINED\tWRONG\tFIRST50\tFIRST95\tGAP95\tREFUSED")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(tw, "%d\t%s\t%s\t%d\t%d\t%.1f%%\t%d\t%s\t%s\t%s\t%s\n", c.Tier, c.Customer, c.Class, c.Sent, c.Whole,
			percent(c.Attained, c.Sent), c.Wrong, ms(c.First50), ms(c.First95), ms(c.Gap95), codes(c.Codes))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "sent=%d attained=%d (%.1f%%) goodput=%.1f/s delivered=%d generated=%d wasted=%d (%.1f%%) doubled=%d prefill=%d cached=%d\n",
		r.Sent, r.Attained, percent(r.Attained, r.Sent), r.Goodput, r.Delivered, r.Generated, r.Wasted,
		percent(r.Wasted, r.Generated), r.Doubled, r.Prefill, r.Cached)
	return err
}

// Tiers sums the report up by tier: requests sent and attained.
func (r *Report) Tiers() map[int][2]int {
	out := map[int][2]int{}
	for _, c := range r.Classes {
		t := out[c.Tier]
		out[c.Tier] = [2]int{t[0] + c.Sent, t[1] + c.Attained}
	}
	return out
}

func percent(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return 100 * float64(a) / float64(b)
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Milliseconds())
}

func codes(m map[string]int) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	out := ""
	for _, k := range keys {
		out += fmt.Sprintf("%s=%d ", k, m[k])
	}
	return out
}
