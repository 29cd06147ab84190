/*
 * msg - messages between processes, and records and commands in storage
 *
 * MG_MSG_LIST lists the message types, MG_FIELDS_* the fields of each type in
 * wire order. A message is encoded as a MessagePack array [type, field, ...].
 * Hosts of two builds run side by side, and a later build reads what an
 * earlier one has stored. So the number, the fields and their order never
 * change; a change of meaning needs a new type, and fields may only be added
 * at the end, where an earlier build ignores them. Messages of an unknown type
 * are skipped and counted. Strings of a decoded message point into the encoded
 * bytes and are valid as long as these.
 *
 * The size of a message is limited by the frame that carries it. A message
 * with a missing or wrongly typed field is rejected as a whole.
 *
 * Names that differ from the terms used elsewhere: answer (response), born_ms
 * (start time of an instance), leaving (draining), marks (strikes), MOVE
 * (rollout within one pool), remembered (restored from persisted state), SEATS
 * (voter slots).
 */
#ifndef MG_MSG_H
#define MG_MSG_H

#include "base/bytes.h"
#include "base/outcome.h"

/* clang-format off */

/* connections between processes (wire/link.h) */
#define MG_FIELDS_HELLO(F) \
    F(STR, node) F(STR, key) F(U64, protocol) F(U64, incarnation)
#define MG_FIELDS_PING(F) F(U64, seq)

/* Raft: RPCs, and the entries of the replicated log */
#define MG_FIELDS_VOTE_REQ(F) \
    F(U64, term) F(U64, last_index) F(U64, last_term) F(U64, pre)
#define MG_FIELDS_VOTE_REP(F) F(U64, term) F(U64, granted) F(U64, pre)
#define MG_FIELDS_APPEND(F) \
    F(U64, term) F(U64, prev_index) F(U64, prev_term) F(U64, commit) \
    F(U64, round) F(BIN, entries)
#define MG_FIELDS_APPEND_REP(F) \
    F(U64, term) F(U64, ok) F(U64, match) F(U64, round) F(U64, uid) \
    F(U64, voter)
#define MG_FIELDS_SNAPSHOT(F) \
    F(U64, term) F(U64, last_index) F(U64, last_term) F(U64, round) \
    F(BIN, data)
#define MG_FIELDS_LOG_ENTRY(F) F(U64, term) F(U64, index) F(BIN, data)

/* state machine: commands (CMD_*) and values of its records (REC_*) */
#define MG_FIELDS_CMD_NOOP(F) F(U64, term)
#define MG_FIELDS_CMD_DOCUMENT(F) \
    F(U64, base_rev) F(U64, wall_ms) F(BIN, sections)
#define MG_FIELDS_CMD_PUT(F) \
    F(U64, kind) F(STR, key) F(U64, expect_rev) F(STR, guard_pool) \
    F(U64, guard_epoch) F(BIN, value)
#define MG_FIELDS_CMD_CLAIM(F) \
    F(STR, workspace) F(STR, key) F(STR, digest) F(STR, holder) \
    F(U64, incarnation) F(U64, nonce) F(U64, gen)
#define MG_FIELDS_CMD_REFUSE(F) \
    F(STR, workspace) F(STR, key) F(STR, digest) F(U64, gen)
#define MG_FIELDS_CMD_FINAL(F) \
    F(STR, workspace) F(STR, key) F(U64, nonce) F(U64, ran) F(U64, status) \
    F(STR, member) F(BIN, answer)
#define MG_FIELDS_CMD_CREDITS(F) \
    F(STR, holder) F(U64, incarnation) F(U64, seq) F(BIN, credits)
#define MG_FIELDS_CMD_READMIT(F) F(U64, node) F(U64, uid)
#define MG_FIELDS_CREDIT(F) F(STR, member) F(U64, count)
#define MG_FIELDS_RECORD(F) \
    F(U64, kind) F(STR, key) F(U64, rev) F(BIN, value)
/* text: packed (base/pack.h) in the log of nodes, plain in a control group */
#define MG_FIELDS_REC_SECTION(F) \
    F(STR, name) F(STR, owner) F(U64, version) F(STR, digest) \
    F(U64, accepted_rev) F(STR, text) F(BIN, history)
#define MG_FIELDS_SECTION_VERSION(F) \
    F(U64, version) F(STR, digest) F(U64, rev)
#define MG_FIELDS_REC_MEMBER(F) \
    F(STR, node) F(STR, http_addr) F(STR, link_addr) F(STR, domain) \
    F(U64, incarnation) F(U64, draining)
#define MG_FIELDS_REC_POOL(F) \
    F(STR, pool) F(STR, holder) F(U64, incarnation) F(U64, epoch)
/* state of the rollout of a version in one pool; move: name of the rollout */
#define MG_FIELDS_REC_MOVE(F) \
    F(STR, move) F(STR, pool) F(U64, state) F(U64, share_permille) \
    F(U64, reserved) F(U64, wall_ms) F(STR, reason)
/* rollout of a version of a service over the whole installation;
   left_ms: time until its deadline when the record was written */
#define MG_FIELDS_REC_ROLLOUT(F) \
    F(STR, service) F(STR, version) F(U64, state) F(U64, share_permille) \
    F(U64, reserved) F(U64, window_ms) F(U64, left_ms) \
    F(STR, reason)
/* the versions of a service that were rolled back, as VERSION_NAME messages;
   rollout_rev: revision of the newest REC_ROLLOUT that its writer knew */
#define MG_FIELDS_REC_REJECTED(F) \
    F(STR, service) F(U64, rollout_rev) F(BIN, versions)
#define MG_FIELDS_VERSION_NAME(F) F(STR, version)
#define MG_FIELDS_REC_QUARANTINE(F) \
    F(U64, fingerprint) F(STR, pool) F(U64, marks) F(STR, target) \
    F(U64, until_wall_ms)
/* contents of a snapshot besides its records */
#define MG_FIELDS_SNAP_HEAD(F) F(U64, rev) F(U64, claim_order)
#define MG_FIELDS_SNAP_CLAIM(F) \
    F(STR, workspace) F(STR, key) F(STR, digest) F(STR, holder) \
    F(U64, incarnation) F(U64, nonce) F(U64, gen) F(U64, state) \
    F(U64, status) \
    F(BIN, answer)
#define MG_FIELDS_SNAP_CREDIT(F) F(STR, member) F(U64, count)
#define MG_FIELDS_SNAP_BATCH(F) F(STR, holder) F(U64, incarnation) F(U64, seq)

/* between entries and the control group */
#define MG_FIELDS_RENEW(F) \
    F(U64, seq) F(U64, incarnation) F(STR, http_addr) F(STR, link_addr) \
    F(STR, domain) F(U64, draining) F(U64, rev) F(U64, probe)
#define MG_FIELDS_RENEW_REP(F) \
    F(U64, seq) F(U64, granted) F(U64, lease_ms) F(U64, rev) F(U64, partial) \
    F(BIN, records)
#define MG_FIELDS_NOT_LEADER(F) F(U64, seq) F(STR, leader)
#define MG_FIELDS_CLAIM(F) F(U64, seq) F(BIN, command)
#define MG_FIELDS_PEEK(F) F(U64, seq) F(BIN, command)
#define MG_FIELDS_CLAIM_REP(F) \
    F(U64, seq) F(U64, result) F(STR, holder) F(U64, incarnation) \
    F(U64, nonce) F(U64, gen) F(U64, status) F(BIN, answer)
#define MG_FIELDS_PROPOSE(F) F(U64, seq) F(BIN, command)
#define MG_FIELDS_PROPOSE_REP(F) F(U64, seq) F(U64, rc) F(U64, rev)
#define MG_FIELDS_OPERATOR(F) \
    F(U64, seq) F(STR, method) F(STR, path) F(STR, key) F(BIN, body)
#define MG_FIELDS_OPERATOR_REP(F) F(U64, seq) F(U64, status) F(BIN, body)
#define MG_FIELDS_FRESH_REQ(F) F(U64, seq)
#define MG_FIELDS_FRESH_REP(F) F(U64, seq) F(U64, leased) F(U64, rev)

/*
 * Between entries and pool schedulers. A ticket that is sent again has a
 * higher attempt; its entry ignores grants of earlier attempts.
 */
#define MG_FIELDS_ANNOUNCE(F) \
    F(U64, seq) F(STR, pool) F(STR, target) F(STR, addr) F(STR, version) \
    F(STR, domain) F(U64, epoch) F(U64, slots) F(U64, tokens_max) \
    F(U64, leaving) F(U64, running) F(U64, queued) F(U64, report_age_ms)
#define MG_FIELDS_ANNOUNCE_REP(F) F(U64, seq) F(U64, rc) F(U64, lease_ms)
#define MG_FIELDS_TICKET(F) \
    F(U64, id) F(U64, attempt) F(STR, pool) F(U64, epoch) F(U64, tier) F(STR, workspace) \
    F(U64, weight) F(U64, prefill) F(U64, decode) F(U64, remaining_ms) \
    F(U64, prefix) F(U64, fingerprint) F(STR, route)
#define MG_FIELDS_HELD(F) \
    F(U64, id) F(U64, attempt) F(STR, pool) F(U64, epoch) F(U64, tier) F(STR, workspace) \
    F(U64, prefill) F(U64, decode) F(STR, target) F(U64, target_epoch) \
    F(U64, fingerprint) F(STR, route) F(U64, elapsed_ms)
#define MG_FIELDS_SYNCED(F) F(STR, pool) F(U64, epoch)
#define MG_FIELDS_CANCEL(F) F(U64, id) F(STR, pool) F(U64, epoch)
#define MG_FIELDS_GRANT(F) \
    F(U64, id) F(U64, attempt) F(STR, pool) F(U64, epoch) F(STR, target) F(STR, addr) \
    F(STR, version) F(U64, target_epoch) F(U64, valid_ms)
#define MG_FIELDS_SHED(F) \
    F(U64, id) F(U64, attempt) F(STR, pool) F(U64, epoch) F(U64, rc) F(U64, retry_ms)
#define MG_FIELDS_DONE(F) \
    F(U64, id) F(U64, attempt) F(STR, pool) F(U64, epoch) F(U64, result) F(U64, first_ms) \
    F(U64, total_ms) F(U64, tokens)

/* attaches a retried request to the response held by another entry */
#define MG_FIELDS_JOIN(F) F(U64, seq) F(U64, nonce)
#define MG_FIELDS_JOIN_REP(F) \
    F(U64, seq) F(U64, rc) F(U64, ran) F(U64, status) F(STR, type) \
    F(BIN, body)

/* asks which targets may run a request whose entry was lost; the reply holds
   their addresses, comma-separated */
#define MG_FIELDS_LOCATE(F) F(U64, seq) F(STR, pool) F(U64, id)
#define MG_FIELDS_LOCATE_REP(F) F(U64, seq) F(STR, addrs)

/* group client: subscription to records, confirmed reads, proposals */
#define MG_FIELDS_PULL(F) F(U64, seq) F(U64, rev) F(U64, wait_ms)
/* leader: the voter's own name only if mg_raft_is_current() */
#define MG_FIELDS_PULL_REP(F) \
    F(U64, seq) F(U64, rev) F(U64, partial) F(STR, leader) F(BIN, records)
#define MG_FIELDS_CONFIRM(F) F(U64, seq)
/* holders: IP addresses of the voters in the order of their slots,
   comma-separated */
/* voters by slot; outgoing and incoming: slots of a voter and its successor,
   sent only while both have one */
#define MG_FIELDS_SEATS(F) \
    F(U64, rev) F(STR, holders) F(U64, outgoing) F(U64, incoming)
/* a host with a data directory and no voter slot, which offers to vote */
#define MG_FIELDS_CANDIDATE(F) F(STR, node)
/* precedes a CANDIDATE of a host that can be a learner; earlier builds can't */
#define MG_FIELDS_CAN_LEARN(F) F(STR, node)
/* a host that is about to stop and so wants to hand its voter slot over */
#define MG_FIELDS_LEAVING(F) F(STR, node)
/* from the leader to its learner: the voters, and the learner's slot */
#define MG_FIELDS_LEARN(F) F(U64, rev) F(STR, holders) F(U64, slot)
/* from a node to the log replica of its own process: comma-separated addresses
   of the live hosts that have a disk, and of the voters that have none */
#define MG_FIELDS_DISK_HOSTS(F) F(STR, disks) F(STR, without)
#define MG_FIELDS_CONFIRM_REP(F) F(U64, seq) F(U64, rc) F(U64, rev)
#define MG_FIELDS_PROPOSED(F) F(U64, seq) F(U64, rc) F(U64, rev) F(STR, why)

/* nodes and target instances, relayed to all nodes by the hubs; the lists of
   NODES, INSTANCES and REPORTS may be packed (base/pack.h) */
#define MG_FIELDS_NODE(F) \
    F(STR, node) F(STR, front_addr) F(STR, domain) F(STR, region) \
    F(U64, incarnation) F(U64, seq) F(U64, ready) F(U64, disk)
#define MG_FIELDS_NODES(F) F(BIN, nodes)
#define MG_FIELDS_INSTANCE(F) \
    F(STR, id) F(STR, service) F(STR, addr) F(STR, domain) F(STR, version) \
    F(U64, slots) F(U64, state) F(U64, born_ms) F(U64, seq) F(U64, cold_ms) \
    F(U64, remembered)
#define MG_FIELDS_INSTANCES(F) F(BIN, instances)

/* load reports of an entry: running requests and quota used */
#define MG_FIELDS_REPORT(F) \
    F(STR, node) F(U64, incarnation) F(U64, seq) F(U64, rate) F(BIN, loads)
#define MG_FIELDS_REPORTS(F) F(BIN, reports)
#define MG_FIELDS_LOAD_TARGET(F) \
    F(STR, id) F(U64, running) F(U64, prefill) F(U64, took_ms) F(U64, work_ms)
#define MG_FIELDS_LOAD_USAGE(F) F(STR, workspace) F(U64, used)
/* cost of the requests that were refused for the quota; last in a report, as
   hosts of an earlier build ignore what follows a message they don't know */
#define MG_FIELDS_LOAD_REFUSED(F) F(STR, workspace) F(U64, cost)
/* a target that wants no requests for a time; last in a report as well */
#define MG_FIELDS_LOAD_PAUSE(F) F(STR, id) F(U64, run) F(U64, left_ms)
/* use by all entries that is age_ms old, for an entry that has just started */
#define MG_FIELDS_LOAD_PAST(F) F(STR, workspace) F(U64, used) F(U64, age_ms)
#define MG_FIELDS_LOAD_POOL(F) F(STR, service) F(U64, waiting)

/* the last response that the entry has received from this run of a target:
   what the target states in it, its age and that of its request, see
   gateway/capacity.h */
#define MG_FIELDS_LOAD_CAPACITY(F) \
    F(STR, id) F(U64, run) F(U64, limited) F(U64, rate_max_milli) \
    F(U64, brittle) F(U64, rejections_max) F(U64, age_ms) F(U64, sent_age_ms)

/* the entry has reached a target of the service age_ms ago */
#define MG_FIELDS_LOAD_REACH(F) F(STR, service) F(U64, age_ms)

/* rollout: requests sent and results measured since the last message */
#define MG_FIELDS_ROLLOUT_SAMPLES(F) \
    F(STR, service) F(STR, version) F(U64, sent_old) F(U64, sent_new) \
    F(BIN, samples)
#define MG_FIELDS_ROLLOUT_SAMPLE(F) \
    F(STR, route) F(U64, is_new) F(U64, failed) F(U64, first_ns_per_token) \
    F(U64, gap_us)
/* STRIKE: a crash that the request or part of a prompt with this key may have
   caused; SERVED: a request that has the key was served. Keys and positions:
   gateway/strikes.h. Number 127 was an earlier form. */
#define MG_FIELDS_LOAD_STRIKE(F) \
    F(U64, key) F(U64, position) F(U64, crash) F(U64, age_ms)
#define MG_FIELDS_LOAD_SERVED(F) F(U64, key) F(U64, age_ms)
/* More on a strike, sent behind it. run: the request, see gateway/strikes.h;
   served_age_ms: 1 + time since the key was served last, 0: never as far as is
   known; trials: see gateway/trial.h. */
#define MG_FIELDS_LOAD_SUSPECT(F) \
    F(U64, key) F(U64, crash) F(U64, run) F(U64, served_age_ms) F(U64, trials)

/* number, name, lower-case name */
#define MG_MSG_LIST(M) \
    M(1, HELLO, hello) \
    M(2, PING, ping) \
    M(10, VOTE_REQ, vote_req) \
    M(11, VOTE_REP, vote_rep) \
    M(12, APPEND, append) \
    M(13, APPEND_REP, append_rep) \
    M(14, SNAPSHOT, snapshot) \
    M(15, LOG_ENTRY, log_entry) \
    M(20, CMD_NOOP, cmd_noop) \
    M(21, CMD_DOCUMENT, cmd_document) \
    M(22, CMD_PUT, cmd_put) \
    M(23, CMD_CLAIM, cmd_claim) \
    M(24, CMD_FINAL, cmd_final) \
    M(25, CMD_CREDITS, cmd_credits) \
    M(26, CMD_READMIT, cmd_readmit) \
    M(27, CREDIT, credit) \
    M(28, CMD_REFUSE, cmd_refuse) \
    M(30, RECORD, record) \
    M(31, REC_SECTION, rec_section) \
    M(32, SECTION_VERSION, section_version) \
    M(33, REC_MEMBER, rec_member) \
    M(34, REC_POOL, rec_pool) \
    M(35, REC_MOVE, rec_move) \
    M(36, REC_QUARANTINE, rec_quarantine) \
    M(37, SNAP_HEAD, snap_head) \
    M(38, SNAP_CLAIM, snap_claim) \
    M(39, SNAP_CREDIT, snap_credit) \
    M(40, SNAP_BATCH, snap_batch) \
    M(41, REC_ROLLOUT, rec_rollout) \
    M(42, REC_REJECTED, rec_rejected) \
    M(43, VERSION_NAME, version_name) \
    M(50, RENEW, renew) \
    M(51, RENEW_REP, renew_rep) \
    M(52, NOT_LEADER, not_leader) \
    M(53, CLAIM, claim) \
    M(54, CLAIM_REP, claim_rep) \
    M(55, PROPOSE, propose) \
    M(56, PROPOSE_REP, propose_rep) \
    M(57, OPERATOR, operator_req) \
    M(58, OPERATOR_REP, operator_rep) \
    M(59, FRESH_REQ, fresh_req) \
    M(60, FRESH_REP, fresh_rep) \
    M(61, PEEK, peek) \
    M(70, ANNOUNCE, announce) \
    M(71, ANNOUNCE_REP, announce_rep) \
    M(72, TICKET, ticket) \
    M(73, HELD, held) \
    M(74, SYNCED, synced) \
    M(75, CANCEL, cancel) \
    M(76, GRANT, grant) \
    M(77, SHED, shed) \
    M(78, DONE, done) \
    M(79, LOCATE, locate) \
    M(80, JOIN, join) \
    M(81, JOIN_REP, join_rep) \
    M(82, LOCATE_REP, locate_rep) \
    M(100, PULL, pull) \
    M(101, PULL_REP, pull_rep) \
    M(102, CONFIRM, confirm) \
    M(103, CONFIRM_REP, confirm_rep) \
    M(104, PROPOSED, proposed) \
    M(105, SEATS, seats) \
    M(106, CANDIDATE, candidate) \
    M(107, DISK_HOSTS, disk_hosts) \
    M(108, CAN_LEARN, can_learn) \
    M(109, LEARN, learn) \
    M(110, NODE, node) \
    M(111, NODES, nodes) \
    M(112, INSTANCE, instance) \
    M(113, INSTANCES, instances) \
    M(114, LEAVING, leaving) \
    M(120, REPORT, report) \
    M(121, REPORTS, reports) \
    M(122, LOAD_TARGET, load_target) \
    M(123, LOAD_USAGE, load_usage) \
    M(124, LOAD_POOL, load_pool) \
    M(125, ROLLOUT_SAMPLES, rollout_samples) \
    M(126, ROLLOUT_SAMPLE, rollout_sample) \
    M(128, LOAD_STRIKE, load_strike) \
    M(129, LOAD_SERVED, load_served) \
    M(130, LOAD_PAST, load_past) \
    M(131, LOAD_CAPACITY, load_capacity) \
    M(132, LOAD_REACH, load_reach) \
    M(133, LOAD_REFUSED, load_refused) \
    M(134, LOAD_PAUSE, load_pause) \
    M(135, LOAD_SUSPECT, load_suspect)

/* clang-format on */

typedef enum mg_msg_type {
#define M(number, NAME, name) MG_MSG_##NAME = number,
    MG_MSG_LIST(M)
#undef M
} mg_msg_type;

#define MG_FIELD_TYPE_U64 uint64_t
#define MG_FIELD_TYPE_STR mg_str
#define MG_FIELD_TYPE_BIN mg_str
#define MG_FIELD_DECL(type, name) MG_FIELD_TYPE_##type name;
#define M(number, NAME, name)           \
    typedef struct mg_##name##_msg {    \
        MG_FIELDS_##NAME(MG_FIELD_DECL) \
    } mg_##name##_msg;
MG_MSG_LIST(M)
#undef M

typedef struct mg_msg {
    mg_msg_type type;
    union {
#define M(number, NAME, name) mg_##name##_msg name;
        MG_MSG_LIST(M)
#undef M
    } u;
} mg_msg;

/* kinds of records of the control group, used in RECORD and CMD_PUT */
typedef enum mg_record_kind {
    MG_RECORD_SECTION = 1,
    MG_RECORD_MEMBER,
    MG_RECORD_POOL,
    MG_RECORD_POOL_ROLLOUT,
    MG_RECORD_QUARANTINE,
    MG_RECORD_VOTERS, /* value: a SEATS message with the record's rev */
    MG_RECORD_ROLLOUT,
    MG_RECORD_REJECTED,
} mg_record_kind;

/* Name of a message type for logs, "?" if it is unknown. */
const char *
mg_msg_name(mg_msg_type type);
/* Appends the encoded message to out. */
void
mg_msg_encode(const mg_msg *m, mg_buf *out);
/*
 * Decodes bytes, which must hold exactly one message. MG_E_INPUT: malformed.
 * MG_E_NOT_FOUND: of an unknown type. m points into bytes, there is nothing to
 * free.
 */
mg_rc
mg_msg_decode(mg_str bytes, mg_msg *m);
/*
 * Decodes the first of several concatenated messages and advances rest past
 * it; those of an unknown type are skipped. MG_E_CLOSED: there is none.
 * MG_E_INPUT: malformed.
 */
mg_rc
mg_msg_next(mg_str *rest, mg_msg *m);

/* A frame is a 4-byte big-endian length, followed by one encoded message. */
#define MG_FRAME_HEADER_SIZE 4
#define MG_FRAME_MAX (32u << 20) /* bytes of the message */
/* Appends the message as a frame. */
void
mg_frame_encode(const mg_msg *m, mg_buf *out);
/*
 * Decodes the frame at the start of in. MG_OK: it is *used bytes long.
 * MG_E_IN_PROGRESS: more bytes are needed; *used is 0. MG_E_TOO_LARGE: its
 * length exceeds max; *used is 0. MG_E_INPUT, MG_E_NOT_FOUND: malformed
 * message of *used bytes, or of an unknown type. *m is undefined unless MG_OK.
 */
mg_rc
mg_frame_decode(mg_str in, size_t max, size_t *used, mg_msg *m);

#endif
