/* One rule is taken out: the search must find a violation. */
#define RULE_CONFIRM 0
#include "host.pml"
