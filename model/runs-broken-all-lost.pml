/* Disabled rule: at a restart, runs are judged by the report, not all taken for lost. */
#define BROKEN_LOST_AT_RESTART
#include "runs.pml"
