/* Disabled rule: a commit requires that the roster is unchanged. */
#define RULE_ROSTER_VERSION 0
#include "host.pml"
