/* Taken out: without the table, the second records before the grant. */
#define BROKEN_SECOND
#include "claim.pml"
