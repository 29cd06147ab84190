/*
 * capacity - how much a target takes, as it states in its responses
 *
 * A target in need states either or both of
 *  - a limit: the requests a second that it takes from all entries together;
 *  - that it is brittle: it fails when it has to reject too many requests.
 * A statement holds until a response lacks it whose request was sent after the
 * statement was last heard: responses that were under way at its first mention
 * don't end it. Entries tell each other what they have heard, so that an entry
 * that sends the target nothing also learns how it goes on.
 *
 * A limit is divided into equal shares of at least one request a second, or a
 * single share when the limit is less. The entries that own a share are those
 * that rank first by a hash of their name and the target's, so entries that
 * know the same entries agree, and only the shares of an entry that leaves
 * change their owner. An entry without a share sends the target nothing. A
 * share can't be saved up: after a pause it is worth one request. An entry
 * that obtains a share waits until its former owner has noticed.
 *
 * A brittle target that has rejected a request gets none for a while.
 *
 * A target that turns a request away may want none for a time. After it, the
 * entry sends one request and waits for its response before it sends more. It
 * tells the other entries, which wait a little longer: if the first request is
 * turned away as well, they learn of it before they send theirs.
 *
 * No I/O; the caller passes the time in, in ms.
 */
#ifndef MG_CAPACITY_H
#define MG_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* what a target states about its capacity, in every response while it lasts */
typedef struct mg_capacity_statement {
    bool limited;
    double rate_max; /* if limited: requests per second, of all entries */
    bool brittle;
    /* if brittle: it fails when it has to reject more requests in a second */
    uint32_t rejections_max;
    int64_t pause_ms; /* it wants no request for so long; 0: not stated */
} mg_capacity_statement;

/* what an entry tells the others about a response that it has received */
typedef struct mg_capacity_report {
    mg_capacity_statement said;
    int64_t age_ms;      /* since it arrived */
    int64_t sent_age_ms; /* since its request was sent */
} mg_capacity_report;

/* when a statement was mentioned last, and when the last request was sent
   whose response lacked it; at any entry, 0: never */
typedef struct mg_capacity_mentions {
    int64_t heard_ms;
    int64_t lacking_ms;
} mg_capacity_mentions;

typedef struct mg_capacity {
    mg_capacity_statement stated; /* in force */
    mg_capacity_mentions limit;
    mg_capacity_mentions brittle;
    /* the last response that this entry has received: what it stated, when it
       arrived (0: none yet), and when its request was sent */
    mg_capacity_statement heard;
    int64_t received_ms;
    int64_t sent_ms;
    int64_t relayed_ms; /* when it passed on what it only knows from others */
    bool owner;         /* of one of the shares */
    uint32_t shares;    /* of the limit; 0: not divided yet */
    double allowance;   /* requests that may be sent now */
    int64_t allowance_ms;    /* time up to which allowance is counted */
    int64_t paused_until_ms; /* after a rejection by a brittle target */
    /* the target wants no request until then, 0: it has not said so; then one
       at a time, until the response to one sent after it doesn't say so again
     */
    int64_t unwanted_until_ms;
    int64_t heard_until_ms; /* the same, as this entry has heard it itself */
    int64_t test_sent_ms;
} mg_capacity;

/* Applies a response received now to a request that was sent at sent_ms;
   returns whether the statement in force has changed. */
bool
mg_capacity_heard(mg_capacity *c, const mg_capacity_statement *s,
                  int64_t sent_ms, int64_t now);
/* Sets *out to what the other entries must be told now; false: nothing. */
bool
mg_capacity_next_report(mg_capacity *c, int64_t now, mg_capacity_report *out);
/* Applies another entry's report; returns like mg_capacity_heard(). */
bool
mg_capacity_reported(mg_capacity *c, const mg_capacity_report *r, int64_t now);
/* Drops statements that no entry has heard for long; returns whether the
   statement in force has changed. */
bool
mg_capacity_expire(mg_capacity *c, int64_t now);

/* Number of shares of a limit among this many entries. */
uint32_t
mg_capacity_shares(double rate_max, size_t entries);
/* Whether entry self (0-based; n: none of them) owns one of the shares. keys:
   hashes of the entries' names; target: hash of the target's id. */
bool
mg_capacity_owns(uint64_t target, const uint64_t *keys, size_t n, size_t self,
                 uint32_t shares);
/* Sets what mg_capacity_owns() and mg_capacity_shares() yield now. */
void
mg_capacity_divide(mg_capacity *c, bool owner, uint32_t shares, int64_t now);

/* Whether a request may be sent now. */
bool
mg_capacity_admits(mg_capacity *c, int64_t now);
/* Counts a request that is sent now. */
void
mg_capacity_take(mg_capacity *c, int64_t now);
/* Time for which the target wants no requests, as this entry has heard from
   it, ms; 0: it may get some. */
int64_t
mg_capacity_pause_left(const mg_capacity *c, int64_t now);
/* Applies another entry's report of this; spread: a random number from 0 to 1.
 */
void
mg_capacity_pause_reported(mg_capacity *c, int64_t left_ms, double spread,
                           int64_t now);
/* Takes note that the target has rejected a request. */
void
mg_capacity_rejected(mg_capacity *c, int64_t now);

#endif
