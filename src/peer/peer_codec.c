#include "peer_codec.h"

#include <string.h>

#include "../base/error.h"
#include "peer_fields.h"

/*
 * A summary may have a row for each team in each pool: 370 teams and 113 pools
 * at the design size give 41,810 rows. A decoded row takes 144 bytes.
 */
#define SUMMARY_ROWS_MAX 65536u
#define SUMMARY_ROW_FIELDS 5

/* Values at any depth: the rows, their fields, and the rest of the message. */
#define OBJECTS_MAX (SUMMARY_ROWS_MAX * (SUMMARY_ROW_FIELDS + 1) + 64)

/* Kind, trace and ref precede the fields of the kind. */
#define HEADER_FIELDS 3
#define TRACE_FIELDS 5

/* Encodes and decodes the fields of one kind. */
struct kind_codec {
	size_t fields;
	void (*encode)(msgpack_packer *pk, const struct peer_msg *msg);
	void (*decode)(struct peer_fields *f, struct peer_msg *msg);
	/* Returns the trace of a message; NULL if the kind has none. */
	struct trace *(*trace)(struct peer_msg *msg);
};

static void pack_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void encode_heartbeat(msgpack_packer *pk, const struct peer_msg *msg)
{
	msgpack_pack_uint64(pk, msg->u.heartbeat.revision);
	pack_bool(pk, msg->u.heartbeat.holds_watch);
	pack_bool(pk, msg->u.heartbeat.platform_up);
	pack_bool(pk, msg->u.heartbeat.is_draining);
}

static void decode_heartbeat(struct peer_fields *f, struct peer_msg *msg)
{
	msg->u.heartbeat.revision = peer_read_u64(f, "revision", UINT64_MAX);
	msg->u.heartbeat.holds_watch = peer_read_bool(f, "holds_watch");
	msg->u.heartbeat.platform_up = peer_read_bool(f, "platform_up");
	msg->u.heartbeat.is_draining = peer_read_bool(f, "is_draining");
}

/* used_ms is slot time with decay, in milliseconds. */
static void encode_summary(msgpack_packer *pk, const struct peer_msg *msg)
{
	const struct summary_row *row = msg->u.summary.rows;
	size_t i;

	peer_write_str(pk, msg->u.summary.data_centre);
	msgpack_pack_array(pk, msg->u.summary.rows_nr);
	for (i = 0; i < msg->u.summary.rows_nr; i++, row++) {
		msgpack_pack_array(pk, SUMMARY_ROW_FIELDS);
		peer_write_str(pk, row->pool);
		peer_write_str(pk, row->team);
		msgpack_pack_int32(pk, row->queued);
		msgpack_pack_int32(pk, row->running);
		msgpack_pack_int64(pk, row->used_ms);
	}
}

static void decode_summary_row(struct peer_fields *f, struct summary_row *row)
{
	peer_read_str(f, "pool", row->pool, sizeof(row->pool));
	peer_read_str(f, "team", row->team, sizeof(row->team));
	row->queued = (int32_t)peer_read_i64(f, "queued", INT32_MIN, INT32_MAX);
	row->running =
		(int32_t)peer_read_i64(f, "running", INT32_MIN, INT32_MAX);
	row->used_ms = peer_read_i64(f, "used_ms", INT64_MIN, INT64_MAX);
}

/* Allocates at most SUMMARY_ROWS_MAX rows, whatever count the peer sends. */
static void decode_summary(struct peer_fields *f, struct peer_msg *msg)
{
	struct peer_fields rows, row;
	uint32_t i, nr;

	peer_read_str(f, "data_centre", msg->u.summary.data_centre,
		      sizeof(msg->u.summary.data_centre));
	nr = peer_fields_enter(f, "rows", SUMMARY_ROWS_MAX, &rows);
	if (!nr)
		return;
	msg->u.summary.rows = g_new0(struct summary_row, nr);
	msg->u.summary.rows_nr = nr;
	for (i = 0; i < nr && !rows.has_failed; i++) {
		peer_fields_enter(&rows, "row", SUMMARY_ROW_FIELDS, &row);
		decode_summary_row(&row, &msg->u.summary.rows[i]);
		peer_fields_leave(&rows, "row", &row);
	}
	peer_fields_leave(f, "rows", &rows);
}

static void encode_config(msgpack_packer *pk, const struct peer_msg *msg)
{
	msgpack_pack_uint64(pk, msg->u.config.revision);
	msgpack_pack_uint64(pk, msg->u.config.version);
	peer_write_bytes(pk, msg->u.config.document);
}

static void decode_config(struct peer_fields *f, struct peer_msg *msg)
{
	msg->u.config.revision = peer_read_u64(f, "revision", UINT64_MAX);
	msg->u.config.version = peer_read_u64(f, "version", UINT64_MAX);
	msg->u.config.document = peer_read_bytes(f, "document");
}

static void encode_config_ack(msgpack_packer *pk, const struct peer_msg *msg)
{
	msgpack_pack_uint64(pk, msg->u.config_ack.revision);
}

static void decode_config_ack(struct peer_fields *f, struct peer_msg *msg)
{
	msg->u.config_ack.revision = peer_read_u64(f, "revision", UINT64_MAX);
}

/*
 * The order of the fields is part of the protocol. Of the key only the digest
 * is sent.
 */
static void encode_forward(msgpack_packer *pk, const struct peer_msg *msg)
{
	const struct submit *s = &msg->u.forward;

	msgpack_pack_uint64(pk, s->caller);
	peer_write_str(pk, s->queue);
	peer_write_str(pk, s->request_id);
	pack_bool(pk, s->has_key);
	peer_write_bin(pk, s->key_digest, sizeof(s->key_digest));
	pack_bool(pk, s->is_idempotent);
	pack_bool(pk, s->is_urgent);
	msgpack_pack_uint32(pk, s->work);
	msgpack_pack_int64(pk, s->deadline_ms);
	msgpack_pack_int32(pk, s->hops);
	peer_write_str(pk, s->content_type);
	peer_write_bytes(pk, s->body);
}

/* The caller checks f for errors and releases the body. */
static void decode_forward(struct peer_fields *f, struct peer_msg *msg)
{
	struct submit *s = &msg->u.forward;

	s->caller = peer_read_u64(f, "caller", UINT64_MAX);
	peer_read_str(f, "queue", s->queue, sizeof(s->queue));
	peer_read_str(f, "request_id", s->request_id, sizeof(s->request_id));
	s->has_key = peer_read_bool(f, "has_key");
	peer_read_bin(f, "key_digest", s->key_digest, sizeof(s->key_digest));
	s->is_idempotent = peer_read_bool(f, "is_idempotent");
	s->is_urgent = peer_read_bool(f, "is_urgent");
	s->work = (enum work_kind)peer_read_u64(f, "work", WORK_LONG);
	s->deadline_ms = peer_read_i64(f, "deadline_ms", INT64_MIN, INT64_MAX);
	s->hops = (int)peer_read_i64(f, "hops", 0, INT32_MAX);
	peer_read_str(f, "content_type", s->content_type,
		      sizeof(s->content_type));
	s->body = peer_read_bytes(f, "body");
}

static struct trace *forward_trace(struct peer_msg *msg)
{
	return &msg->u.forward.trace;
}

/* The order of the fields is part of the protocol. */
static void encode_forward_reply(msgpack_packer *pk, const struct peer_msg *msg)
{
	const struct reply *r = &msg->u.forward_reply;

	msgpack_pack_uint64(pk, r->caller);
	msgpack_pack_uint32(pk, r->outcome);
	msgpack_pack_int32(pk, r->status);
	peer_write_str(pk, r->reason);
	peer_write_str(pk, r->step);
	peer_write_str(pk, r->peer);
	msgpack_pack_int64(pk, r->retry_after_ms);
	peer_write_str(pk, r->job);
	peer_write_str(pk, r->content_type);
	peer_write_bytes(pk, r->body);
}

/* The caller checks f for errors and releases the body. */
static void decode_forward_reply(struct peer_fields *f, struct peer_msg *msg)
{
	struct reply *r = &msg->u.forward_reply;

	r->caller = peer_read_u64(f, "caller", UINT64_MAX);
	r->outcome = (enum outcome)peer_read_u64(f, "outcome", OUTCOME_UNKNOWN);
	r->status = (int)peer_read_i64(f, "status", 0, 999);
	peer_read_str(f, "reason", r->reason, sizeof(r->reason));
	peer_read_str(f, "step", r->step, sizeof(r->step));
	peer_read_str(f, "peer", r->peer, sizeof(r->peer));
	r->retry_after_ms =
		peer_read_i64(f, "retry_after_ms", INT64_MIN, INT64_MAX);
	peer_read_str(f, "job", r->job, sizeof(r->job));
	peer_read_str(f, "content_type", r->content_type,
		      sizeof(r->content_type));
	r->body = peer_read_bytes(f, "body");
}

static struct trace *forward_reply_trace(struct peer_msg *msg)
{
	return &msg->u.forward_reply.trace;
}

static void encode_no_fields(msgpack_packer *pk, const struct peer_msg *msg)
{
	(void)pk;
	(void)msg;
}

/* The type of the function pointer requires a msg that is not const. */
static void decode_no_fields(struct peer_fields *f,
			     struct peer_msg *msg) // NOLINT
{
	(void)f;
	(void)msg;
}

static void encode_claim(msgpack_packer *pk, const struct peer_msg *msg)
{
	msgpack_pack_uint64(pk, msg->u.claim.map_version);
	msgpack_pack_uint32(pk, msg->u.claim.partition);
	peer_write_bin(pk, msg->u.claim.digest, sizeof(msg->u.claim.digest));
	peer_write_str(pk, msg->u.claim.holder);
}

static void decode_claim(struct peer_fields *f, struct peer_msg *msg)
{
	msg->u.claim.map_version = peer_read_u64(f, "map_version", UINT64_MAX);
	msg->u.claim.partition =
		(uint32_t)peer_read_u64(f, "partition", UINT32_MAX);
	peer_read_bin(f, "digest", msg->u.claim.digest,
		      sizeof(msg->u.claim.digest));
	peer_read_str(f, "holder", msg->u.claim.holder,
		      sizeof(msg->u.claim.holder));
}

static void encode_claim_reply(msgpack_packer *pk, const struct peer_msg *msg)
{
	msgpack_pack_uint64(pk, msg->u.claim_reply.map_version);
	msgpack_pack_uint32(pk, msg->u.claim_reply.verdict);
	peer_write_str(pk, msg->u.claim_reply.holder);
}

static void decode_claim_reply(struct peer_fields *f, struct peer_msg *msg)
{
	msg->u.claim_reply.map_version =
		peer_read_u64(f, "map_version", UINT64_MAX);
	msg->u.claim_reply.verdict =
		(enum claim_verdict)peer_read_u64(f, "verdict", CLAIM_STALE);
	peer_read_str(f, "holder", msg->u.claim_reply.holder,
		      sizeof(msg->u.claim_reply.holder));
}

static void encode_job_ack(msgpack_packer *pk, const struct peer_msg *msg)
{
	peer_write_str(pk, msg->u.job_copy.job);
	msgpack_pack_uint64(pk, msg->u.job_copy.version);
}

static void decode_job_ack(struct peer_fields *f, struct peer_msg *msg)
{
	peer_read_str(f, "job", msg->u.job_copy.job,
		      sizeof(msg->u.job_copy.job));
	msg->u.job_copy.version = peer_read_u64(f, "version", UINT64_MAX);
}

static void encode_job_copy(msgpack_packer *pk, const struct peer_msg *msg)
{
	encode_job_ack(pk, msg);
	peer_write_bytes(pk, msg->u.job_copy.record);
}

static void decode_job_copy(struct peer_fields *f, struct peer_msg *msg)
{
	decode_job_ack(f, msg);
	msg->u.job_copy.record = peer_read_bytes(f, "record");
}

static const struct kind_codec codecs[PEER_KIND_NR] = {
	[PEER_HEARTBEAT] = { 4, encode_heartbeat, decode_heartbeat, NULL },
	[PEER_SUMMARY] = { 2, encode_summary, decode_summary, NULL },
	[PEER_CONFIG] = { 3, encode_config, decode_config, NULL },
	[PEER_CONFIG_ACK] = { 1, encode_config_ack, decode_config_ack, NULL },
	[PEER_FORWARD] = { 12, encode_forward, decode_forward, forward_trace },
	[PEER_FORWARD_REPLY] = { 10, encode_forward_reply, decode_forward_reply,
				 forward_reply_trace },
	[PEER_FORWARD_CANCEL] = { 0, encode_no_fields, decode_no_fields, NULL },
	[PEER_CLAIM] = { 4, encode_claim, decode_claim, NULL },
	[PEER_CLAIM_REPLY] = { 3, encode_claim_reply, decode_claim_reply,
			       NULL },
	[PEER_CLAIM_COPY] = { 4, encode_claim, decode_claim, NULL },
	[PEER_CLAIM_RELEASE] = { 4, encode_claim, decode_claim, NULL },
	[PEER_CLAIM_COPY_ACK] = { 3, encode_claim_reply, decode_claim_reply,
				  NULL },
	[PEER_JOB_COPY] = { 3, encode_job_copy, decode_job_copy, NULL },
	[PEER_JOB_COPY_ACK] = { 2, encode_job_ack, decode_job_ack, NULL },
};

/* A trace is encoded as an array of its numbers, or nil if there is none. */
static void encode_trace(msgpack_packer *pk, const struct trace *t)
{
	if (!t || (!t->id_high && !t->id_low && !t->span)) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_array(pk, TRACE_FIELDS);
	msgpack_pack_uint64(pk, t->id_high);
	msgpack_pack_uint64(pk, t->id_low);
	msgpack_pack_uint64(pk, t->span);
	msgpack_pack_uint64(pk, t->parent);
	msgpack_pack_uint8(pk, t->flags);
}

/* If t is NULL, the message must have no trace. */
static void decode_trace(struct peer_fields *f, struct trace *t)
{
	struct peer_fields sub;

	if (!peer_fields_enter(f, "trace", t ? TRACE_FIELDS : 0, &sub) || !t)
		return;
	t->id_high = peer_read_u64(&sub, "id_high", UINT64_MAX);
	t->id_low = peer_read_u64(&sub, "id_low", UINT64_MAX);
	t->span = peer_read_u64(&sub, "span", UINT64_MAX);
	t->parent = peer_read_u64(&sub, "parent", UINT64_MAX);
	t->flags = (uint8_t)peer_read_u64(&sub, "flags", UINT8_MAX);
	peer_fields_leave(f, "trace", &sub);
}

GBytes *peer_encode(const struct peer_msg *msg)
{
	const struct kind_codec *codec;
	msgpack_sbuffer buf;
	msgpack_packer pk;

	if ((unsigned)msg->kind >= PEER_KIND_NR)
		return NULL;
	codec = &codecs[msg->kind];
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, HEADER_FIELDS + codec->fields);
	msgpack_pack_uint32(&pk, msg->kind);
	encode_trace(&pk, codec->trace ? codec->trace((struct peer_msg *)msg) :
					 NULL);
	msgpack_pack_uint64(&pk, msg->ref);
	codec->encode(&pk, msg);
	return peer_sbuffer_to_bytes(&buf);
}

int peer_decode(const uint8_t *data, size_t len, struct peer_msg *msg,
		struct cs_error *err)
{
	const struct kind_codec *codec;
	struct peer_fields f;
	msgpack_zone zone;
	int code;

	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE))
		return cs_error_set(err, CS_ERR_NOMEM, "peer_decode", NULL,
				    "out of memory");
	peer_fields_open(&f, data, len, OBJECTS_MAX, &zone);
	msg->kind = (enum peer_kind)peer_read_u64(&f, "kind", PEER_KIND_NR - 1);
	codec = &codecs[msg->kind];
	decode_trace(&f, codec->trace ? codec->trace(msg) : NULL);
	msg->ref = peer_read_u64(&f, "ref", UINT64_MAX);
	codec->decode(&f, msg);
	code = peer_fields_close(&f, "peer_decode", err);
	msgpack_zone_destroy(&zone);
	if (code) {
		peer_msg_clear(msg);
		memset(msg, 0, sizeof(*msg));
	}
	return code;
}
