/* A gone member is struck off although a silent one may have its permits. */
#define NO_GHOSTS
#include "permits.pml"
