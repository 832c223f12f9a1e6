/*
 * Disabled rule: a start that was given up without an answer does not count as answered
 * when the host list or a refusal shows that the endpoint is gone.
 */
#define BROKEN_GONE_UNCONFIRMED
#include "runs.pml"
