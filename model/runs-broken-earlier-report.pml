/*
 * Disabled rule: only reports tell incarnations apart. The list decides, and a report of
 * an earlier incarnation is applied to the one that the list has shown.
 */
#define BROKEN_EARLIER_REPORT
#include "runs.pml"
