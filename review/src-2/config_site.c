/*
 * config_site - the operator: sends a configuration, reads it back
 *
 * usage: config_site FOLDER put VERSION
 *            exit code 0: acknowledged, 2: not within 20 s
 *        config_site FOLDER read VERSION SECONDS
 *            reads at all nodes in turn, for that long or until each node has
 *            responded with that version; exit code 0: each node that the
 *            environment names has it, 1: no node had it, 2: some had it
 */
#include "kit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PUT_MS 20000
#define READ_PAUSE_MS 500

static const char config[] =
    "{\"version\":%d,\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\","
    "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
    "\"routes\":[{\"name\":\"read\",\"hostname\":\"shop.example\","
    "\"pathPrefix\":\"/read/\",\"routeType\":\"idempotent\","
    "\"timeoutMs\":2500,\"goalMs\":150,\"priority\":0,\"service\":\"app\","
    "\"maxAttempts\":2,\"public\":true}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static int
read_back(int version, int seconds)
{
    bool has[NODES_MAX] = {false};
    char reply[4096];
    char wanted[64];
    int found = 0;
    int64_t until = steady_ms() + (int64_t)seconds * 1000;
    snprintf(wanted, sizeof(wanted), "\"version\":%d,", version);
    while (steady_ms() < until && found < node_count) {
        for (int i = 0; i < node_count; i++) {
            int status = call_node(node_ips[i], "GET",
                                   "/marigoldgw/config/get", "", reply,
                                   sizeof(reply));
            record("operator reads at %s: %d %.13s", node_ips[i], status,
                   status == 200 ? reply : "");
            if (!has[i] && status == 200 && strstr(reply, wanted) != NULL) {
                has[i] = true;
                found++;
            }
        }
        sleep_ms(READ_PAUSE_MS);
    }
    record("version %d is read back at %d of %d nodes", version, found,
           node_count);
    return found == node_count ? 0 : found == 0 ? 1 : 2;
}

int
main(int argc, char **argv)
{
    char text[2048];
    if (argc < 4) {
        return 2;
    }
    int version = atoi(argv[3]);
    kit_open(argv[1]);
    int result = 2;
    if (strcmp(argv[2], "put") == 0) {
        snprintf(text, sizeof(text), config, version);
        record("operator sends version %d", version);
        result = put_config(text, PUT_MS) ? 0 : 2;
    }
    else if (argc == 5) {
        result = read_back(version, atoi(argv[4]));
    }
    kit_close();
    return result;
}
