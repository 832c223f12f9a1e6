/*
 * Excluded event: an acknowledgement that was sent before the leader had a sign of a
 * restart is carried out by the next incarnation.
 */
#define BROKEN_ACK_IN_FLIGHT
#include "runs.pml"
