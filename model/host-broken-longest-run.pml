/* Disabled rule: a host moves only once the work of crashed entries has ended. */
#define RULE_LONGEST_RUN 0
#include "host.pml"
