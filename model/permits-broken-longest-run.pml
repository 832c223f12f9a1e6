/* A dead member's permits are reclaimed while its work may still run. */
#define NO_LONGEST_RUN
#include "permits.pml"
