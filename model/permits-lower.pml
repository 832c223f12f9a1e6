/* The limit is lowered while members trade, crash and are carried. */
#define LOWER
#include "permits.pml"
