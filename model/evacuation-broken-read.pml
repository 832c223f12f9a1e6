/* Disabled rule: a new leader sends nothing before it has read the operator's rows. */
#define BROKEN_READ
#include "evacuation.pml"
