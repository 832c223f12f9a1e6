package main

// The platform runs programs that are linked with the C library, which importing
// C links in.

// #include <stdlib.h>
import "C"
