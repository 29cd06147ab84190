/*
 * quota - a workspace's quota over all entries
 *
 * A workspace may use its burst at once, and then as much per second as its
 * rate and burst allow on average over a window. Every entry counts what all
 * entries have admitted in the last window: local use at once, remote use from
 * reports, which carry totals that only grow. From these counts follows the
 * level of a token bucket that all entries share.
 *
 * Entries learn of each other's use late. If each admitted all it can while
 * the bucket holds something, all would empty it at the same moment, many
 * times over. So an entry admits only a part of what is asked once the bucket
 * is less than half full: as much as all entries together may admit, divided
 * by the demand at all entries. The use that is not known yet is estimated,
 * and an excess is paid back over a quarter of a window instead of at once.
 * What is left of the window's sum is spread in the same way.
 *
 * An entry that hears nothing from others keeps to its share of the quota, as
 * they do: see mg_quota_set_view().
 *
 * No I/O; the caller passes the time in. Costs are requests or tokens.
 */
#ifndef MG_QUOTA_H
#define MG_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#define MG_QUOTA_SLICES 64
/* intervals of a window in which past use is reported */
#define MG_QUOTA_INTERVALS 8

/* a workspace's quota, and the excess over a window that is tolerated */
typedef struct mg_quota_settings {
    double rate;    /* per second; 0: unlimited */
    double burst;   /* beyond the rate, in a window */
    double overage; /* excess as a part of the quota */
    double margin;  /* excess besides */
    int64_t window_ms;
} mg_quota_settings;

/* what the entries enforce: a bucket, and the sum over a window */
typedef struct mg_quota_limits {
    double rate;       /* refills the bucket, per second; 0: unlimited */
    double rate_apart; /* likewise, while not all entries are heard */
    double burst;      /* size of the bucket */
    double ceiling;    /* of the use in a window */
    int64_t window_ms;
} mg_quota_limits;

typedef struct mg_quota {
    mg_quota_limits limits;
    int64_t slice_ms; /* a window has MG_QUOTA_SLICES slices */
    int64_t slice;    /* number of the newest slice */
    double used_per_slice[MG_QUOTA_SLICES];
    double remote_per_slice[MG_QUOTA_SLICES]; /* part used at other entries */
    double asked_per_slice[MG_QUOTA_SLICES];  /* also what was refused */
    double used_window;                       /* sum of used_per_slice */
    int64_t lag_ms;                           /* see mg_quota_set_view() */
    double share;                             /* see mg_quota_set_view() */
    unsigned others;                          /* see mg_quota_set_view() */
    bool is_level_known; /* else it follows from the use in the window */
    double level;        /* of the bucket at level_ms */
    int64_t level_ms;
    double cost;            /* of the last request */
    int64_t empty_ms;       /* see mg_quota_start_empty() */
    uint64_t used_total;    /* at this entry, since its start */
    uint64_t refused_total; /* likewise */
} mg_quota;

/*
 * Derives limits that allow all of the quota, at a steady pace too, and part
 * of the tolerated excess; the rest is for what entries admit between reports.
 */
mg_quota_limits
mg_quota_limits_of(const mg_quota_settings *s);
/* Sets the limits; a change of window_ms clears the counts. */
void
mg_quota_set(mg_quota *q, const mg_quota_limits *limits);
/*
 * Sets what the entry knows of the others. lag_ms: the age that a report has
 * reached when that entry's next report arrives; 0: there are no others.
 * share: the part of the entries that report, this one included; those that
 * have fallen silent may use their part of the quota unseen. others: number of
 * other entries that report.
 */
void
mg_quota_set_view(mg_quota *q, int64_t lag_ms, double share, unsigned others);
/* The bucket was empty at that time: an entry that starts doesn't know what
   others, or its earlier process, have granted. */
void
mg_quota_start_empty(mg_quota *q, int64_t empty_ms);
/* Takes cost, even if less is left, or refuses. draw: a random number from 0
   to 1, excluding 1. */
bool
mg_quota_take(mg_quota *q, double cost, double draw, int64_t now);
/* Counts use at another entry; cost: increase since its previous report. */
void
mg_quota_add_remote(mg_quota *q, double cost, int64_t now);
/* Counts what another entry has refused, likewise. */
void
mg_quota_add_remote_refused(mg_quota *q, double cost, int64_t now);
/* Counts another use of a request that has taken cost, whatever the limits. */
void
mg_quota_charge(mg_quota *q, double cost, int64_t now);
/* Whether at least half of what the rate and the burst allow in a window is
   used. */
bool
mg_quota_is_half_used(mg_quota *q, int64_t now);
/* Use in one of MG_QUOTA_INTERVALS intervals of the last window, 0 being the
   newest, and the time since the end of that interval. */
double
mg_quota_past(mg_quota *q, unsigned interval, int64_t now, int64_t *age_ms);
/* Counts use of this age, by all entries, from before this entry's start. */
void
mg_quota_add_past(mg_quota *q, double cost, int64_t age_ms, int64_t now);
/* Takes back a cost that was counted at taken_ms: the request was not run.
   Once that time has left the window, nothing changes. */
void
mg_quota_refund(mg_quota *q, double cost, int64_t taken_ms, int64_t now);
/* Time until the bucket holds something, or until the window is below its
   ceiling, ms; 0 when both hold now. */
int64_t
mg_quota_wait_ms(mg_quota *q, int64_t now);

#endif
