/* A member gives without subtracting. */
#define NO_DEBIT
#include "permits.pml"
