/* Disabled rule: without the table, the secondary records the claim before the grant. */
#define BROKEN_SECOND
#include "claim.pml"
