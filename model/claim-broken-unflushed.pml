/* Disabled rule: a new primary waits until the earlier replica pairs have flushed. */
#define BROKEN_UNFLUSHED
#include "claim.pml"
