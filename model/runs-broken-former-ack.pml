/*
 * Without the fence, an acknowledgement of the former leader makes an endpoint forget the
 * end of a run of the new one.
 */
#define BROKEN_FORMER_ACK
#define FIRST_RUNS 1
#define SECOND_RUNS 1
#include "runs.pml"
