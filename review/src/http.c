/*
 * http ADDR METHOD PATH [BODY] - one call of an operator
 *
 * Prints the status (000: no complete response within a second) and the body.
 */
#include <stdio.h>
#include <stdlib.h>

#include "net.h"

#define TIMEOUT_MS 1000

int
main(int argc, char **argv)
{
    message m;
    if (argc < 4) {
        return 2;
    }
    const char *timeout = getenv("TIMEOUT_MS");
    int status = call(argv[1], argv[2], argv[3],
                      "Content-Type: application/json\r\n",
                      argc > 4 ? argv[4] : "",
                      timeout ? atoi(timeout) : TIMEOUT_MS, &m);
    printf("%03d %s\n", status, status && m.body ? m.body : "");
    return 0;
}
