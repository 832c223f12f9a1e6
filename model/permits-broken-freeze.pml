/* A member accepts transfers after its report. */
#define NO_FREEZE
#include "permits.pml"
