/* One rule is taken out: the search must find a violation. */
#define RULE_ROSTER_VERSION 0
#include "host.pml"
