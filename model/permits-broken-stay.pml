/* A carried member adopts the newer generation without having reported. */
#define NO_STAY
#include "permits.pml"
