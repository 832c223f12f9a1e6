/* Disabled rule: primary and secondary use the same roster version. */
#define BROKEN_VERSION
#include "claim.pml"
