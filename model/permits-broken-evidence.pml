/*
 * Disabled rule: a member counts as gone only on evidence. An expired lease is no
 * evidence.
 */
#define NO_EVIDENCE
#include "permits.pml"
