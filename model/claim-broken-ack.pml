/* Disabled rule: a replica flushes before it acknowledges a roster version. */
#define BROKEN_ACK
#include "claim.pml"
