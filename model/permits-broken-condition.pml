/* Disabled rule: a commit is conditional on the row version. */
#define NO_CONDITION
#include "permits.pml"
