/* A member is taken for gone without evidence, as by a lease on the clock. */
#define NO_EVIDENCE
#include "permits.pml"
