package main

// The platform runs programs that are linked with the C library.

// #include <stdlib.h>
import "C"
