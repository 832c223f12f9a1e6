/*
 * Disabled rule: a dead member's permits are reclaimed only once its work cannot be
 * running any more.
 */
#define NO_LONGEST_RUN
#include "permits.pml"
