/* Taken out: a new home waits until the former pairs are settled. */
#define BROKEN_UNFLUSHED
#include "claim.pml"
