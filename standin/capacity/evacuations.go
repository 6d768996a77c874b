package capacity

import (
	"context"
	"fmt"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// SessionEvacuations measures an idle entry with sessions for repeatable jobs at several numbers of evacuated failure domains,
// which have no sidecars. A point may come again, so that points with and without evacuations alternate in one run.
func (b *Benchmark) SessionEvacuations(ctx context.Context, points []int) error {
	s, err := b.openEntry(ctx)
	if err != nil {
		return err
	}
	defer s.close()

	f, err := s.openSessions(b.Workers)
	if err != nil {
		return err
	}
	defer func() { _ = f.node.Close() }()

	ctx, stop := context.WithCancel(ctx)
	defer stop()

	fmt.Fprintf(b.Out, "%d of %d sidecars chose the entry\n", f.connect(ctx, b.Workers), b.Workers)

	t := newTable(b.Out, "evacuated", usageColumns()...)
	defer t.printFits()

	evacuated := 0

	for _, n := range points {
		for ; evacuated != n; evacuated += sign(n - evacuated) {
			domain := fmt.Sprintf("unused-%d", min(evacuated, evacuated+sign(n-evacuated)))
			if _, err := s.log.Append(ctx, ledger.EvacuationRecord(domain, n < evacuated, nil, "capacity")); err != nil {
				return err
			}
		}

		if err := s.measureEntry(ctx, t, n); err != nil {
			return err
		}
	}

	return nil
}

func sign(n int) int {
	if n < 0 {
		return -1
	}

	return 1
}
