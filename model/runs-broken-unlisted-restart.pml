/* Disabled rule: those leases are waited out also without a sign of the restart. */
#define BROKEN_UNLISTED_RESTART
#include "runs.pml"
