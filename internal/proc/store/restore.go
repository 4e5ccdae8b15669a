package store

import "sassafrasring.dev/sassafrasring/pkg/tier"

// RestoreGap is added to the version of a restored configuration. Nodes only
// go forward, and versions accepted after the backup was made are not known.
const RestoreGap tier.ConfigVersion = 1000000

// Restore turns a state that was read from a backup at nowMs into the first
// one of a new cluster. Its configuration gets a version above all that the
// former cluster can have accepted. For write.mark from then on a key that is
// not known is claimed only on the caller's word that it was never sent, since
// the backup lacks the claims that were made after it.
func (s *Store) Restore(nowMs int64) {
	next := *s.config
	next.Version += RestoreGap
	s.accept(&next, "sassafrasring", "restored from a backup", nowMs)
	s.claims.lostMs = nowMs
}
