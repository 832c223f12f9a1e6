/* Disabled rule: a stop counts only for the incarnation for which it was ordered. */
#define BROKEN_STOP
#include "runs.pml"
