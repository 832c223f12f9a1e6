/* Disabled rule: a carried member stays in its generation until it has reported. */
#define NO_STAY
#include "permits.pml"
