/*
 * A stop that an earlier incarnation accepted is not repeated to the next one, and its run
 * is not waited for.
 */
#define BROKEN_LATE_FORGOTTEN
#include "runs.pml"
