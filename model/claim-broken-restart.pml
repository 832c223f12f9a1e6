/* Disabled rule: a restarted process is a new incarnation without loaded claims. */
#define BROKEN_RESTART
#include "claim.pml"
