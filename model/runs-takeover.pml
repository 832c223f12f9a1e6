/* The same with a second leader: see runs.pml. Each leader starts the task once. */
#define FIRST_RUNS 1
#define SECOND_RUNS 1
#include "runs.pml"
