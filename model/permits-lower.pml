/* The limit is lowered while members transfer permits, crash and are carried. */
#define LOWER
#include "permits.pml"
