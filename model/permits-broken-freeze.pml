/* Disabled rule: a member accepts no transfers after its report. */
#define NO_FREEZE
#include "permits.pml"
