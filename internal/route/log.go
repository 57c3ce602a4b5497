package route

import (
	"strconv"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// logDecision logs the candidates with their scores, the chosen one and the
// reason.
func logDecision(d *decision, chosen int, reason string) {
	if !logging.Enabled(logging.InfoLevel) {
		return
	}
	c := &d.candidates[chosen]
	logger.Info(logging.Fields{
		"request_id":    d.req.ID,
		"workspace":     d.req.Workspace,
		"class":         classLabel(d.req.Class),
		"attempt":       d.req.Attempt,
		"server":        c.Server.Name,
		"reason":        reason,
		"cached_tokens": c.CachedTokens,
		"prompt_tokens": d.promptTokens,
		"candidates":    candidateText(d.candidates),
	}, "backend server chosen")
}

// candidateText formats the candidates as name=score pairs, with scores in
// milliseconds.
func candidateText(candidates []Candidate) string {
	text := make([]byte, 0, 32*len(candidates))
	for i := range candidates {
		if i > 0 {
			text = append(text, ' ')
		}
		text = append(text, candidates[i].Server.Name...)
		text = append(text, '=')
		text = strconv.AppendFloat(text, candidates[i].Score.Seconds()*1000, 'f', 1, 64)
	}
	return string(text)
}
