/* Disabled rule: a host moves only once all entries have confirmed the drain. */
#define RULE_CONFIRM 0
#include "host.pml"
