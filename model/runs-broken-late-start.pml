/*
 * Excluded event: a start is carried out after the endpoint has accepted a stop of its
 * run, reported, and restarted.
 */
#define BROKEN_LATE_START
#include "runs.pml"
