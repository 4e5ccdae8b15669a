package store

import "sassafrasring.dev/sassafrasring/pkg/tier"

// RestoreVersionGap is added to the version of a restored configuration. Nodes only accept higher versions, and the
// versions that were accepted after the backup are unknown.
const RestoreVersionGap tier.ConfigVersion = 1000000

// Restore turns a state that was read from a backup into the initial state of a new cluster. The configuration gets a
// version above any that the former cluster can have accepted. The backup lacks the claims that were made after it;
// therefore, for the duration write.mark after nowMs, an unknown key is granted only if the caller states that it has
// not sent a request with that key before.
func (s *Store) Restore(nowMs int64) {
	next := *s.config
	next.Version += RestoreVersionGap
	s.accept(&next, "sassafrasring", "restored from a backup", nowMs)
	s.claims.restoredMs = nowMs
}
