/* Taken out: the claim comes before the dispatch. */
#define BROKEN_ORDER
#include "claim.pml"
