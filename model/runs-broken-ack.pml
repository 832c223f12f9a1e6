/* Disabled rule: after a sign of a restart no acknowledgement is sent before the report. */
#define BROKEN_ACK
#include "runs.pml"
