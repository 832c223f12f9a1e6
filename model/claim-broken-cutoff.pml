/* Disabled rule: ids wait while their primary is partitioned but not proven gone. */
#define BROKEN_CUTOFF
#include "claim.pml"
