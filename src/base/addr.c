#include "base/addr.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/bytes.h"

#define PORT_MAX 65535

mg_rc
mg_addr_parse(const char *addr, struct sockaddr_in *out)
{
    char host[MG_ADDR_SIZE];
    const char *colon = strrchr(addr, ':');
    if (colon == NULL || strlen(addr) >= MG_ADDR_SIZE) {
        return MG_E_INPUT;
    }
    mg_str_copy(host, sizeof(host), (mg_str){addr, (size_t)(colon - addr)});
    char *end;
    long port = strtol(colon + 1, &end, 10);
    if (end == colon + 1 || *end != '\0' || port < 1 || port > PORT_MAX) {
        return MG_E_INPUT;
    }
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? MG_OK : MG_E_INPUT;
}

void
mg_addr_format(const struct sockaddr_in *addr, char out[MG_ADDR_SIZE])
{
    char ip[INET_ADDRSTRLEN] = "?";
    inet_ntop(AF_INET, &addr->sin_addr, ip, sizeof(ip));
    snprintf(out, MG_ADDR_SIZE, "%s:%u", ip, ntohs(addr->sin_port));
}
