/*
 * event - numbered log events
 *
 * Each log line is one event of the table below: a number that never changes,
 * a level, a name, and key=value fields. marigoldctl events generates
 * docs/EVENTS.md from this table; CI checks that the file is up to date.
 *
 * Lines are written to standard output through log4c, which is set up in
 * code: a log4crc file is not needed.
 */
#ifndef MG_EVENT_H
#define MG_EVENT_H

#include "base/outcome.h"

/* arguments of X: number, level, name and meaning of an event */
#define MG_EVENT_LIST(X)                                                      \
    X(100, INFO, PROCESS_START, "process started")                            \
    X(101, INFO, PROCESS_STOP, "process stopped")                             \
    X(102, ERROR, PROCESS_FAILED, "process failed to start or to continue")   \
    X(103, WARN, LOG_DROPPED, "log lines were dropped; their number")         \
    X(104, INFO, STATS, "counters and latencies since the start")             \
    X(110, INFO, LINK_UP, "link to a peer opened, handshake done")            \
    X(111, WARN, LINK_DOWN, "link to a peer closed; reason")                  \
    X(112, WARN, LINK_REFUSED, "peer rejected: key, version or frame")        \
    X(113, WARN, LINK_UNSENT, "many bytes wait to be sent; largest peer")     \
    X(114, WARN, CLIENT_UNSENT, "client that reads too slowly disconnected")  \
    X(200, INFO, RAFT_ROLE, "role in the control group changed")              \
    X(201, WARN, RAFT_REJOIN, "member that lost its data rejoins, no vote")   \
    X(202, INFO, RAFT_READMIT, "member admitted as voter again")              \
    X(203, INFO, RAFT_SNAPSHOT, "snapshot written or installed")              \
    X(204, WARN, STORE_TORN, "torn end of the log truncated at start")        \
    X(205, ERROR, STORE_FAILED, "data directory not readable or writable")    \
    X(206, INFO, GROUP_LEADER, "node follows another leader of the group")    \
    X(207, INFO, SEATS, "voter slots of the group; their holders")            \
    X(208, WARN, STORE_SLOW, "a disk has taken long; 250 ms or more")         \
    X(210, INFO, DOC_ACCEPTED, "document change accepted")                    \
    X(211, WARN, DOC_REFUSED, "document change refused; reason")              \
    X(212, INFO, DOC_IN_FORCE, "revision applied by every leased entry")      \
    X(220, INFO, POOL_ASSIGNED, "pool scheduler placed on an entry; reason")  \
    X(221, INFO, ENTRY_LEASED, "entry obtained a serving lease")              \
    X(222, WARN, ENTRY_UNLEASED, "entry's serving lease expired")             \
    X(230, INFO, RECORD_REFUSED, "scheduler's record refused; reason")        \
    X(300, INFO, REQ_ADMITTED, "request admitted at an entry")                \
    X(301, INFO, REQ_REFUSED, "request refused; code, whether it ran")        \
    X(302, INFO, REQ_CLAIMED, "claim granted for a request with a key")       \
    X(303, INFO, REQ_RESEND, "retry found a claim; its state")                \
    X(304, INFO, REQ_DISPATCHED, "request written to its target")             \
    X(305, INFO, REQ_ANSWERED, "complete response sent to the client")        \
    X(306, WARN, REQ_CUT, "response truncated after dispatch")                \
    X(307, INFO, REQ_CANCELLED, "client disconnected; request cancelled")     \
    X(308, WARN, REQ_CONNECT_FAILED, "connection failed, not dispatched")     \
    X(309, WARN, GRANT_STALE, "grant dropped before dispatch; reason")        \
    X(310, INFO, QUOTA, "workspace is over its quota; figures")               \
    X(311, INFO, REQ_RELAYED, "request passed on through another entry")      \
    X(320, INFO, ROUTE_GRANT, "slot granted: target and figures")             \
    X(321, INFO, ROUTE_SHED, "ticket shed: reason and figures")               \
    X(322, INFO, SCHED_START, "pool scheduler started; epoch")                \
    X(323, INFO, SCHED_STOP, "pool scheduler stopped; reason")                \
    X(324, INFO, SCHED_REBUILT, "slots in use rebuilt from the entries")      \
    X(330, INFO, TARGET_UP, "target announced itself")                        \
    X(331, WARN, TARGET_DOWN, "target removed: lease expired or crashed")     \
    X(332, INFO, TARGET_LEAVING, "target is draining, gets no new requests")  \
    X(333, INFO, TARGET_CAPACITY, "target states another capacity")           \
    X(334, WARN, POOL_CUT, "cut off from a service that other entries reach") \
    X(340, INFO, MOVE_STATE, "rollout changed state; evidence")               \
    X(341, WARN, QUARANTINE, "refused: has crashed too many targets")         \
    X(342, INFO, CRASH_SUSPECT, "request or prompt part of a crashed target") \
    X(343, INFO, CRASH_PROBE, "target probed after a broken connection")      \
    X(344, INFO, CRASH_CLEARED, "served after all, no longer refused")        \
    X(345, INFO, ROLLOUT_ORDER, "order of a rollout; what decided it")        \
    X(346, INFO, CRASH_TRIAL, "refused request let through, as a trial")      \
    X(350, INFO, CONFIG_APPLIED, "entry applied a revision")                  \
    X(351, WARN, CONFIG_BAD, "revision could not be applied")                 \
    X(352, WARN, SERVE_WITHOUT_CONTROL, "serves by majority, control lost")   \
    X(360, INFO, DRAIN, "drain of an entry; stage")                           \
    X(361, INFO, NODE_UP, "entry is live, as reported by a hub")              \
    X(362, WARN, NODE_DOWN, "entry is no longer live; reason")                \
    X(364, INFO, HUBS, "set of hubs changed")                                 \
    X(365, INFO, DIRECTORY, "number of hosts advertised to clients")          \
    X(366, WARN, INCARNATION,                                                 \
      "others know a higher incarnation of this host")                        \
    X(363, INFO, SETTINGS, "settings reloaded; new values")                   \
    X(400, WARN, BAD_INPUT, "malformed input refused")

typedef enum mg_event {
#define X(number, level, name, meaning) MG_EV_##name = number,
    MG_EVENT_LIST(X)
#undef X
} mg_event;

/* Starts logging under a process name. level is "info", "warn" or "error",
   else MG_E_INPUT. */
mg_rc
mg_log_open(const char *process, const char *level);
/* Writes the buffered lines, unless the reader stalls for 200 ms, and stops
   logging. */
void
mg_log_close(void);
/*
 * After mg_log_enable_buffering() mg_log() only buffers lines and
 * mg_log_flush() writes them; the daemon calls it every few tens of ms.
 * Without buffering each line is written at once. Neither way blocks on a
 * slow reader, see base/logsink.h.
 */
void
mg_log_enable_buffering(void);
void
mg_log_flush(void);
/* fmt is a list of key=value fields; never log credentials or bodies. */
void
mg_log(mg_event ev, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Prints the event table in Markdown to standard output. */
void
mg_log_print_events(void);

#endif
