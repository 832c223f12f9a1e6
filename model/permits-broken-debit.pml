/* Disabled rule: a transfer reduces the sender's holding. */
#define NO_DEBIT
#include "permits.pml"
