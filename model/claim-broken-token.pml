/* Taken out: a token is presented to one home only. */
#define BROKEN_TOKEN
#include "claim.pml"
