/* Taken out: home and second hold the same roster version. */
#define BROKEN_VERSION
#include "claim.pml"
