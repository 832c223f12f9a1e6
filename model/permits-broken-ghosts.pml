/*
 * Disabled rule: a gone member is carried while an unreported member may hold its
 * permits.
 */
#define NO_GHOSTS
#include "permits.pml"
