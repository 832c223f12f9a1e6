/* A manager commits whatever the row's version. */
#define NO_CONDITION
#include "permits.pml"
