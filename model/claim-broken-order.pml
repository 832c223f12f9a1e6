/* Disabled rule: a request is claimed before it is dispatched. */
#define BROKEN_ORDER
#include "claim.pml"
