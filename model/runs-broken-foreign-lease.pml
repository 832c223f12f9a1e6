/* Disabled rule: leases that orders for an earlier incarnation set are waited out. */
#define BROKEN_FOREIGN_LEASE
#include "runs.pml"
