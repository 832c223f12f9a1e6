/* Disabled rule: a queued start is confirmed before it is sent. */
#define BROKEN_UNCONFIRMED_START
#include "runs.pml"
