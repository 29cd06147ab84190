/*
 * marigold - the embeddable parts of libmarigold
 *
 * These parts open no sockets and, except for mg_store, no files: they read
 * the time from an mg_clock and pass messages and records to callbacks. Link
 * with libmarigold.a and the libraries of packages.txt; add the installed
 * directory "marigold" to the include path (-I).
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
