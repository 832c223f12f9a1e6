/* Disabled rule: a start is checked once more when it is sent. */
#define BROKEN_QUEUED
#include "evacuation.pml"
