package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// writeTable prints the measurements of a run, a line per phase.
func writeTable(w io.Writer, r *Report) {
	fmt.Fprintf(w, "workload %s, policy %s, seed %d, load %.2f, load average %.1f, oracle %.3f exact, %.3f pooled\n",
		r.Workload, r.Policy, r.Seed, r.Load, r.MeanLoad, r.Oracle.Exact, r.Oracle.Pooled)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\tsent\tanswered\trefused\theld\tfailed\tunfinished\thit\turgent p50\turgent p99\tdeferrable p50\tp99\tcalls p99\trecomputed\tworst share\tworst p99\tmedian p99\twrongful\tin rate\t")
	for i := range r.Phases {
		p := &r.Phases[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.3f\t%.1f\t%.1f\t%d\t%d\t\n",
			p.Name, p.Sent, p.Answered, p.Refused, p.StoreUnavailable, p.Failed, p.Unfinished, p.HitRate,
			p.Classes[0].P50, p.Classes[0].P99, p.Classes[1].P50, p.Classes[1].P99, p.Classes[2].P99,
			p.Recomputed, p.Worst.Share, p.Worst.P99, p.Worst.MedianP99, p.Wrongful, p.InRate)
	}
	_ = t.Flush() // the underlying writer reports its errors itself
}
