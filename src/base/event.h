/*
 * event - numbered log events
 *
 * Every log line is one event of the table below: a number that never
 * changes, a level, a name, and fields as key=value. docs/EVENTS.md is
 * printed from the same table (marigoldctl events) and compared in CI.
 *
 * Lines go to standard output through log4c; the log of a daemon does not
 * depend on a log4crc file.
 */
#ifndef MG_EVENT_H
#define MG_EVENT_H

#include "base/outcome.h"

/* number, level, name, meaning */
#define MG_EVENT_LIST(X)                                                    \
    X(100, INFO, PROCESS_START, "process started")                          \
    X(101, INFO, PROCESS_STOP, "process stopped")                           \
    X(102, ERROR, PROCESS_FAILED, "process could not go on")                \
    X(103, WARN, LOG_DROPPED, "lines of this log were dropped; how many")   \
    X(104, INFO, STATS, "counters and times since the start")               \
    X(110, INFO, LINK_UP, "link to a peer opened and greeted")              \
    X(111, WARN, LINK_DOWN, "link to a peer closed; why")                   \
    X(112, WARN, LINK_REFUSED, "peer refused: key, version or frame")       \
    X(200, INFO, RAFT_ROLE, "role in the control group changed")            \
    X(201, WARN, RAFT_REJOIN, "member without its data rejoins, no vote")   \
    X(202, INFO, RAFT_READMIT, "member admitted as voter again")            \
    X(203, INFO, RAFT_SNAPSHOT, "snapshot written or installed")            \
    X(204, WARN, STORE_TORN, "torn tail of the log cut off at start")       \
    X(205, ERROR, STORE_FAILED, "data folder could not be written or read") \
    X(206, INFO, GROUP_LEADER, "node follows another leader of the group")  \
    X(207, INFO, SEATS, "seats of the group; who holds them")               \
    X(210, INFO, DOC_ACCEPTED, "document change accepted")                  \
    X(211, WARN, DOC_REFUSED, "document change refused; why")               \
    X(212, INFO, DOC_IN_FORCE, "revision in force at every leased entry")   \
    X(220, INFO, POOL_ASSIGNED, "pool scheduler placed on an entry; why")   \
    X(221, INFO, ENTRY_LEASED, "entry holds a serving lease")               \
    X(222, WARN, ENTRY_UNLEASED, "entry's serving lease ran out")           \
    X(230, INFO, RECORD_REFUSED, "scheduler's record refused; why")         \
    X(300, INFO, REQ_ADMITTED, "request admitted at an entry")              \
    X(301, INFO, REQ_REFUSED, "request refused; code, ran")                 \
    X(302, INFO, REQ_CLAIMED, "claim granted for a keyed request")          \
    X(303, INFO, REQ_RESEND, "resend found a claim; what it gets")          \
    X(304, INFO, REQ_DISPATCHED, "request written to its target")           \
    X(305, INFO, REQ_ANSWERED, "whole answer sent to the caller")           \
    X(306, WARN, REQ_CUT, "answer ended early; dispatched, not whole")      \
    X(307, INFO, REQ_CANCELLED, "caller left; request withdrawn")           \
    X(308, WARN, REQ_CONNECT_FAILED, "target not reached, not dispatched")  \
    X(309, WARN, GRANT_STALE, "grant dropped before dispatch; why")         \
    X(310, INFO, QUOTA, "workspace is over its quota; figures")             \
    X(320, INFO, ROUTE_GRANT, "slot granted: target and figures")           \
    X(321, INFO, ROUTE_SHED, "ticket shed: reason and figures")             \
    X(322, INFO, SCHED_START, "pool scheduler started; epoch")              \
    X(323, INFO, SCHED_STOP, "pool scheduler stopped; why")                 \
    X(324, INFO, SCHED_REBUILT, "used slots rebuilt from the entries")      \
    X(330, INFO, TARGET_UP, "target announced itself")                      \
    X(331, WARN, TARGET_DOWN, "target gone: lease ran out or died")         \
    X(332, INFO, TARGET_LEAVING, "target leaves, gets no new work")         \
    X(340, INFO, MOVE_STATE, "move changed state; evidence")                \
    X(341, WARN, QUARANTINE, "request quarantined after crashes")           \
    X(342, INFO, CRASH_SUSPECT, "request ran on a target when it died")     \
    X(350, INFO, CONFIG_APPLIED, "entry applied a revision")                \
    X(351, WARN, CONFIG_BAD, "revision could not be applied")               \
    X(352, WARN, SERVE_WITHOUT_CONTROL, "served by majority of entries")    \
    X(360, INFO, DRAIN, "drain of an entry: stage")                         \
    X(361, INFO, NODE_UP, "entry is live, as a hub says")                   \
    X(362, WARN, NODE_DOWN, "entry is no longer live; why")                 \
    X(364, INFO, HUBS, "hosts that pass on what nodes say have changed")    \
    X(365, INFO, DIRECTORY, "number of hosts that callers are sent to")     \
    X(363, INFO, SETTINGS, "settings read again; what changed")             \
    X(400, WARN, BAD_INPUT, "malformed input refused")

typedef enum mg_event {
#define X(number, level, name, meaning) MG_EV_##name = number,
    MG_EVENT_LIST(X)
#undef X
} mg_event;

/* Starts logging as the named process; level "info", "warn" or "error". */
mg_rc
mg_log_open(const char *process, const char *level);
/* Writes what is left, if its reader takes it soon. */
void
mg_log_close(void);
/*
 * From now on lines are kept and written by mg_log_flush(), some tens of ms
 * later; the daemon calls it regularly. Without it each line is written as
 * it comes. Neither waits for a reader: see base/logsink.h.
 */
void
mg_log_enable_buffering(void);
void
mg_log_flush(void);
/* fmt is a list of key=value fields; never pass keys or bodies. */
void
mg_log(mg_event ev, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Prints the catalogue as a Markdown table to standard output. */
void
mg_log_print_events(void);

#endif
