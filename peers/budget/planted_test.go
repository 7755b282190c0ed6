package budget

import (
	"testing"

	"starlingusher/internal/planted"
)

// Faults that would let two nodes use one unit are found by the tests of this package.
func TestPlantedFaultsAreFound(t *testing.T) {
	planted.Check(t, "../..", "./peers/budget", "^(TestEveryInterleaving|TestWalks)$", []planted.Fault{
		{Name: "a loan is counted from the answer", File: "peers/budget/budget.go",
			Old: "n.borrowed(q, m)", New: "q.at = now\n\t\t\tn.borrowed(q, m)"},
		{Name: "rights are reused before their time", File: "peers/budget/budget.go",
			Old: "s.lent = append(s.lent, loan{units, until})", New: "s.lent = append(s.lent, loan{units, until - n.cfg.Term/2})"},
		{Name: "a grant that comes again counts again", File: "peers/budget/budget.go",
			Old: "\tdelete(n.asked, m.Seq)\n\treturn q, true", New: "\treturn question{q.at, q.to, q.seat, slices.Clone(q.asks)}, true"},
		{Name: "drift is forgotten", File: "peers/budget/budget.go",
			Old: "float64(s.Term) * (1 + s.Drift) / (1 - s.Drift)", New: "float64(s.Term)"},
		{Name: "a voter that starts is not quiet", File: "peers/budget/budget.go",
			Old: "quietTil: now + cfg.kept()", New: "quietTil: now"},
		{Name: "a vote is given twice", File: "peers/budget/seat.go",
			Old: "case held && old.to != to:", New: "case held && old.to != to && own:"},
		{Name: "half of the voters are a majority", File: "peers/budget/seat.go",
			Old: "len(cfg.Voters)/2 + 1", New: "len(cfg.Voters) / 2"},
		{Name: "a new life goes on with the old one's lease", File: "peers/budget/seat.go",
			Old: "held && old.to != to:", New: "held && old.to.name != to.name:"},
		{Name: "a lease is counted from its last vote", File: "peers/budget/seat.go",
			Old: "[len(t.votes)-most]+cfg.Term", New: "[len(t.votes)-1]+cfg.Term"},
	})
}
