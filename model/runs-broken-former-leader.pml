/*
 * Excluded event: a start of the former leader is carried out by an incarnation that
 * began after the new leader had reached an earlier one.
 */
#define BROKEN_FORMER_LEADER
#define FIRST_RUNS 1
#define SECOND_RUNS 1
#include "runs.pml"
