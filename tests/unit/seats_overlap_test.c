/*
 * The histories of seats_test with one loss more: a disk is lost while
 * another holder is cut off or down and its seat is being given away.
 */
#define OVERLAP 1
#include "seats_test.c"
