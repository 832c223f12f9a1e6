/*
 * Not a rule: claims that no run is acknowledged as done after a takeover and a restart.
 * The violation shows that the model gets there.
 */
#define BROKEN_END
#define FIRST_RUNS 1
#define SECOND_RUNS 1
#include "runs.pml"
