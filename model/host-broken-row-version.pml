/* Disabled rule: a commit requires that the host's row is unchanged. */
#define RULE_ROW_VERSION 0
#include "host.pml"
