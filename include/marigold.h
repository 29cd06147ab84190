/*
 * marigold - the parts of libmarigold that others embed
 *
 * Decisions without sockets and files: time comes from an mg_clock, messages
 * and records leave through the vtables of each part. Link with
 * libmarigold.a and the libraries of packages.txt; headers are found with
 * -I of the installed folder "marigold".
 */
#ifndef MARIGOLD_H
#define MARIGOLD_H

#include "base/bytes.h"
#include "base/clock.h"
#include "base/outcome.h"
#include "control/assign.h"
#include "control/raft.h"
#include "control/state.h"
#include "control/store.h"
#include "ledger/claims.h"
#include "policy/place.h"
#include "policy/quarantine.h"
#include "policy/rollout.h"
#include "policy/sched.h"
#include "policy/tierq.h"
#include "topology/config.h"
#include "topology/lease.h"
#include "topology/target.h"
#include "wire/msg.h"

#endif
