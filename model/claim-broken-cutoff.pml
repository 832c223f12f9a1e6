/* Taken out: a home that is only cut off keeps its ids waiting. */
#define BROKEN_CUTOFF
#include "claim.pml"
