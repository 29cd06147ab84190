/*
 * answers - a replica with large answers, and a requester on a slow link
 *
 * answers replica ADDR ID SERVICE ZONE BYTES length|none CONTROL...
 *     Answers each request with a body of BYTES bytes that depends on the
 *     attempt id; "none": without a length, the answer ends with the channel.
 *     Sends a heartbeat each second to one of the nodes, in turn.
 * answers requester FRONT HOST PATH KEY ATTEMPT BYTES BYTES_PER_S
 *     Sends a request, reads the answer at that rate and checks it. The last
 *     line says how it ended: "whole", "seen as cut", "cut but seen as whole"
 *     or "no success".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define HEARTBEAT_MS 1000
#define DEADLINE_MS 20000
#define TURN_MS 20
#define RECEIVE_BYTES 32768
#define SEGMENT_BYTES 1460 /* of an Ethernet link */

static size_t body_bytes;
static bool with_length;
static const char *replica_id;

static char
body_byte(const char *attempt, size_t i)
{
    return (char)('a' + (i * 7 + (unsigned char)attempt[i % strlen(attempt)]) %
                            26);
}

static void
send_answer(int fd, const char *attempt)
{
    char head[512];
    char length[64] = "Connection: close\r\n";
    char *body = malloc(body_bytes);
    for (size_t i = 0; i < body_bytes; i++) {
        body[i] = body_byte(attempt, i);
    }
    if (with_length) {
        snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
                 body_bytes);
    }
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Response-Seal: seal-%s\r\n%s\r\n",
             attempt, attempt, length);
    bool sent = write_all(fd, head, strlen(head)) &&
                write_all(fd, body, body_bytes);
    record("replica %s answered %s with %zu bytes, %s", replica_id, attempt,
           body_bytes, sent ? "all written" : "not all written");
    free(body);
}

static void *
serve(void *arg)
{
    reader r = {.fd = (int)(intptr_t)arg};
    message m;
    char attempt[64];
    char instance[64];
    while (read_request(&r, &m)) {
        get_header(&m, "marigoldgw-attempt-id", attempt, sizeof(attempt));
        get_header(&m, "marigoldgw-target-instance", instance,
                   sizeof(instance));
        free(m.body);
        m.body = NULL;
        if (attempt[0] == '\0' || strcmp(instance, replica_id) != 0) {
            record("replica %s: a request that isn't for it", replica_id);
            break;
        }
        record("replica %s runs %s", replica_id, attempt);
        send_answer(r.fd, attempt);
        if (!with_length) {
            break;
        }
    }
    shutdown(r.fd, SHUT_WR);
    close(r.fd);
    return NULL;
}

static void *
accept_all(void *arg)
{
    int listener = (int)(intptr_t)arg;
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd >= 0) {
            start_thread(serve, (void *)(intptr_t)fd);
        }
    }
    return NULL;
}

static void
run_replica(int argc, char **argv)
{
    registration reg = {.id = argv[3],
                        .addr = argv[2],
                        .service = argv[4],
                        .zone = argv[5],
                        .slots = 8,
                        .born_ms = (uint64_t)time(NULL) * 1000};
    replica_id = reg.id;
    body_bytes = (size_t)atoll(argv[6]);
    with_length = strcmp(argv[7], "length") == 0;
    start_thread(accept_all, (void *)(intptr_t)listen_on(reg.addr));
    for (int i = 0;; i++) {
        send_heartbeat(&reg, argv[8 + i % (argc - 8)], "ready");
        sleep_ms(HEARTBEAT_MS);
    }
}

/* what a requester knows of its answer */
typedef struct answer {
    int status;
    char seal[64];
    long long length; /* -1: none */
    bool ended;       /* the channel's end was an orderly one */
    size_t bytes;
    bool right; /* each byte is the replica's */
} answer;

static void
read_slowly(reader *r, answer *a, const char *attempt, size_t rate)
{
    size_t turn_bytes = rate * TURN_MS / 1000;
    char *bytes = malloc(turn_bytes);
    while (a->length < 0 || a->bytes < (size_t)a->length) {
        ssize_t n;
        if (r->count > 0) {
            n = (ssize_t)(r->count < turn_bytes ? r->count : turn_bytes);
            memcpy(bytes, r->bytes, (size_t)n);
            r->count -= (size_t)n;
            memmove(r->bytes, r->bytes + n, r->count);
        }
        else {
            n = recv(r->fd, bytes, turn_bytes, 0);
        }
        if (n <= 0) {
            a->ended = n == 0;
            break;
        }
        for (ssize_t i = 0; i < n; i++) {
            a->right = a->right &&
                       bytes[i] == body_byte(attempt, a->bytes + (size_t)i);
        }
        a->bytes += (size_t)n;
        sleep_ms(TURN_MS * n / (ssize_t)turn_bytes);
    }
    free(bytes);
}

static const char *
outcome_of(const answer *a, size_t expected)
{
    bool looks_whole = a->length >= 0 ? a->bytes == (size_t)a->length
                                      : a->ended;
    if (a->status / 100 != 2) {
        return "no success";
    }
    if (!looks_whole) {
        return "seen as cut";
    }
    return a->right && a->bytes == expected && a->seal[0] != '\0'
               ? "whole"
               : "cut but seen as whole";
}

static int
run_requester(char **argv)
{
    const char *attempt = argv[6];
    size_t expected = (size_t)atoll(argv[7]);
    size_t rate = (size_t)atoll(argv[8]);
    char head[1024];
    char length[32];
    message m;
    answer a = {.length = -1, .right = true};
    link_options options = {.receive_bytes = RECEIVE_BYTES,
                            .segment_bytes = SEGMENT_BYTES,
                            .read_timeout_ms = DEADLINE_MS};
    reader r = {.fd = connect_to(argv[2], &options)};
    snprintf(head, sizeof(head),
             "GET %s HTTP/1.1\r\nHost: %s\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Credential: %s\r\nMarigoldgw-Deadline: %d\r\n\r\n",
             argv[4], argv[3], attempt, argv[5], DEADLINE_MS);
    record("requester sends %s", attempt);
    if (r.fd >= 0 && write_all(r.fd, head, strlen(head)) &&
        read_head(&r, &m)) {
        sscanf(m.head, "HTTP/1.%*d %d", &a.status);
        get_header(&m, "marigoldgw-response-seal", a.seal, sizeof(a.seal));
        get_header(&m, "content-length", length, sizeof(length));
        a.length = length[0] != '\0' ? atoll(length) : -1;
        get_header(&m, "transfer-encoding", length, sizeof(length));
        if (length[0] != '\0') {
            record("requester: chunks aren't expected here");
            return 2;
        }
        read_slowly(&r, &a, attempt, rate);
    }
    record("requester got %s: status %d, seal \"%s\", length %lld, "
           "%zu of %zu bytes, orderly end %d",
           attempt, a.status, a.seal, a.length, a.bytes, expected, a.ended);
    record("outcome of %s: %s", attempt, outcome_of(&a, expected));
    return 0;
}

int
main(int argc, char **argv)
{
    if (argc >= 9 && strcmp(argv[1], "replica") == 0) {
        run_replica(argc, argv);
    }
    if (argc == 9 && strcmp(argv[1], "requester") == 0) {
        return run_requester(argv);
    }
    return 2;
}
