/* Disabled rule: a token is presented to one primary only. */
#define BROKEN_TOKEN
#include "claim.pml"
