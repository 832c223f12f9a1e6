/* Taken out: a restarted process is another incarnation without loaded claims. */
#define BROKEN_RESTART
#include "claim.pml"
