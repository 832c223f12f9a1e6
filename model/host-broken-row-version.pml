/* One rule is taken out: the search must find a violation. */
#define RULE_ROW_VERSION 0
#include "host.pml"
