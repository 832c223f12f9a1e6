package main

// Importing C links the program with the C library, as the platform requires.

// #include <stdlib.h>
import "C"
