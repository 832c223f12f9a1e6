/*
 * Disabled rule: a new leader starts an inherited task only when each endpoint has been
 * reached, or its inherited lease is over.
 */
#define BROKEN_TAKEOVER
#define FIRST_RUNS 1
#define SECOND_RUNS 1
#include "runs.pml"
