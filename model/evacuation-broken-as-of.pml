/* Disabled rule: a set that a process is told of is taken only if it is of a later version. */
#define BROKEN_AS_OF
#include "evacuation.pml"
