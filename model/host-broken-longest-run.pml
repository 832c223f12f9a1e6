/* One rule is taken out: the search must find a violation. */
#define RULE_LONGEST_RUN 0
#include "host.pml"
