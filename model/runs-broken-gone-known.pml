/*
 * Disabled rule: an endpoint that the host list lacks may come back and carry out orders
 * of the former leader.
 */
#define BROKEN_GONE_KNOWN
#define FIRST_RUNS 1
#define SECOND_RUNS 1
#include "runs.pml"
