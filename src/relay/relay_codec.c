#include "relay_codec.h"

#include <string.h>

#include "../base/error.h"
#include "../batch/batch.h"
#include "../peer/peer_fields.h"

/* Values of a message with the most runs and ended runs that a server lists. */
#define OBJECTS_MAX 200000
/* Values of one run and of one ended run. */
#define RUN_FIELDS 5
#define END_FIELDS 5
/* The longest a caller of the owner waits for any order, ms. */
#define TIMEOUT_MAX_MS 60000

/* Writes a text as bytes, NULL as nil. */
static void write_text(msgpack_packer *pk, const char *text)
{
	if (text)
		peer_write_bin(pk, (const uint8_t *)text, strlen(text));
	else
		msgpack_pack_nil(pk);
}

/* The caller frees the text; NULL: nil. */
static char *read_text(struct peer_fields *f, const char *name)
{
	GBytes *bytes = peer_read_bytes(f, name);
	gsize len;
	const char *data;
	char *text;

	if (!bytes)
		return NULL;
	data = g_bytes_get_data(bytes, &len);
	text = g_strndup(data ? data : "", len);
	g_bytes_unref(bytes);
	return text;
}

static void write_order(msgpack_packer *pk, const struct relay_msg *m)
{
	const struct order *o = m->order;

	msgpack_pack_uint64(pk, m->call);
	msgpack_pack_int(pk, o->type);
	msgpack_pack_int64(pk, o->timeout_ms);
	peer_write_str(pk, o->address);
	peer_write_str(pk, o->instance);
	msgpack_pack_uint64(pk, o->token);
	msgpack_pack_int64(pk, o->deadline_ms);
	peer_write_str(pk, o->task);
	msgpack_pack_uint32(pk, o->run);
	write_text(pk, m->omits_payload ? NULL : o->payload);
	write_text(pk, o->checkpoint);
	write_text(pk, o->ticket);
	msgpack_pack_int(pk, o->percent);
	/* Earlier versions ignore it in a start. */
	msgpack_pack_uint64(pk, o->type == ORDER_START ? o->started_unix_ms :
							 o->acked_end);
	msgpack_pack_int64(pk, o->wait_ms);
}

static void read_order(struct peer_fields *f, struct relay_msg *m)
{
	struct order *o;
	uint64_t acked_end;

	m->call = peer_read_u64(f, "call", UINT64_MAX);
	/* Only orders to servers are carried. */
	o = m->order = order_new(
		(enum order_type)peer_read_u64(f, "type", ORDER_PACE));
	o->timeout_ms = peer_read_i64(f, "timeout", 0, TIMEOUT_MAX_MS);
	peer_read_str(f, "address", o->address, sizeof(o->address));
	peer_read_str(f, "instance", o->instance, sizeof(o->instance));
	o->token = peer_read_u64(f, "token", UINT64_MAX);
	o->deadline_ms = peer_read_i64(f, "deadline", INT64_MIN, INT64_MAX);
	peer_read_str(f, "task", o->task, sizeof(o->task));
	o->run = (uint32_t)peer_read_u64(f, "run", UINT32_MAX);
	o->payload = read_text(f, "payload");
	o->checkpoint = read_text(f, "checkpoint");
	o->ticket = read_text(f, "ticket");
	o->percent = (int)peer_read_i64(f, "percent", 0, 100);
	acked_end = peer_read_u64(f, "acked_end", UINT64_MAX);
	if (o->type == ORDER_START)
		o->started_unix_ms = acked_end;
	else
		o->acked_end = acked_end;
	o->wait_ms = peer_read_i64(f, "wait", 0, TIMEOUT_MAX_MS);
}

/* Runs and ended runs are flat lists, which saves the headers of their rows. */
static void write_reply(msgpack_packer *pk, const struct relay_msg *m)
{
	const struct order_reply *d = m->reply;
	guint i;

	msgpack_pack_uint64(pk, m->call);
	msgpack_pack_int(pk, d->result);
	msgpack_pack_int(pk, d->reason);
	msgpack_pack_int64(pk, d->clock_ms);
	msgpack_pack_uint64(pk, d->started_unix_ms);
	msgpack_pack_array(pk, RUN_FIELDS * (size_t)d->runs->len);
	for (i = 0; i < d->runs->len; i++) {
		const struct order_run *r = g_ptr_array_index(d->runs, i);

		peer_write_str(pk, r->task);
		msgpack_pack_uint32(pk, r->run);
		write_text(pk, r->checkpoint);
		msgpack_pack_int(pk, r->percent);
		msgpack_pack_int64(pk, r->tail_ms_or_cpu);
	}
	msgpack_pack_array(pk, END_FIELDS * (size_t)d->ends->len);
	for (i = 0; i < d->ends->len; i++) {
		const struct order_ended_run *e = g_ptr_array_index(d->ends, i);

		msgpack_pack_uint64(pk, e->number);
		peer_write_str(pk, e->task);
		msgpack_pack_uint32(pk, e->run);
		msgpack_pack_int(pk, e->how);
		write_text(pk, e->checkpoint);
	}
}

static void read_run(struct peer_fields *f, struct order_reply *d)
{
	struct order_run *r = g_new0(struct order_run, 1);

	peer_read_str(f, "task", r->task, sizeof(r->task));
	r->run = (uint32_t)peer_read_u64(f, "run", UINT32_MAX);
	r->checkpoint = read_text(f, "checkpoint");
	r->percent = (int)peer_read_i64(f, "percent", INT32_MIN, INT32_MAX);
	r->tail_ms_or_cpu = peer_read_i64(f, "tail", INT64_MIN, INT64_MAX);
	g_ptr_array_add(d->runs, r);
}

static void read_end(struct peer_fields *f, struct order_reply *d)
{
	struct order_ended_run *e = g_new0(struct order_ended_run, 1);

	e->number = peer_read_u64(f, "number", UINT64_MAX);
	peer_read_str(f, "task", e->task, sizeof(e->task));
	e->run = (uint32_t)peer_read_u64(f, "run", UINT32_MAX);
	e->how = (enum batch_end)peer_read_u64(f, "how", BATCH_END_LOST);
	e->checkpoint = read_text(f, "checkpoint");
	g_ptr_array_add(d->ends, e);
}

typedef void (*read_row_fn)(struct peer_fields *f, struct order_reply *d);

static void read_rows(struct peer_fields *f, const char *name,
		      read_row_fn read_row, struct order_reply *d)
{
	struct peer_fields sub;

	peer_fields_enter(f, name, OBJECTS_MAX, &sub);
	while (sub.left && !sub.has_failed)
		read_row(&sub, d);
	peer_fields_leave(f, name, &sub);
}

static void read_reply(struct peer_fields *f, struct relay_msg *m)
{
	const struct order unknown = { .type = ORDER_HOLD };
	struct order_reply *d = m->reply = order_reply_new(&unknown);

	m->call = peer_read_u64(f, "call", UINT64_MAX);
	d->result =
		(enum order_result)peer_read_u64(f, "result", ORDER_UNKNOWN);
	d->reason = (enum order_reason)peer_read_u64(f, "reason",
						     ORDER_REASON_INCARNATION);
	d->clock_ms = peer_read_i64(f, "clock", -1, INT64_MAX);
	d->started_unix_ms = peer_read_u64(f, "started", UINT64_MAX);
	read_rows(f, "runs", read_run, d);
	read_rows(f, "ends", read_end, d);
}

static void read_partial_reply(struct peer_fields *f, struct relay_msg *m)
{
	read_reply(f, m);
	m->reply->is_partial = true;
}

static void write_offer(msgpack_packer *pk, const struct relay_msg *m)
{
	msgpack_pack_int(pk, m->cpu_share);
}

static void read_offer(struct peer_fields *f, struct relay_msg *m)
{
	m->cpu_share = (int)peer_read_i64(f, "cpu_share", 1, INT32_MAX);
}

static void write_submission(msgpack_packer *pk, const struct relay_msg *m)
{
	const struct submission *s = m->submission;
	gsize len;
	const uint8_t *data = g_bytes_get_data(s->value, &len);

	peer_write_str(pk, s->id);
	msgpack_pack_uint64(pk, s->revision);
	msgpack_pack_uint64(pk, s->owner_revision);
	peer_write_bin(pk, data, len);
}

/* The value is decoded by the core, like one from the store. */
static void read_submission(struct peer_fields *f, struct relay_msg *m)
{
	uint64_t revision, owner_revision;
	char id[BATCH_ID_MAX];
	GBytes *value;

	peer_read_str(f, "id", id, sizeof(id));
	revision = peer_read_u64(f, "revision", UINT64_MAX);
	owner_revision = peer_read_u64(f, "owner_revision", UINT64_MAX);
	value = peer_read_bytes(f, "value");
	if (!value)
		peer_fields_fail(f, "value", "missing");
	else if (!f->has_failed)
		m->submission =
			submission_new(id, revision, owner_revision, value);
	g_bytes_unref(value);
}

/* What follows the kind and the time. */
struct kind_codec {
	size_t fields;
	void (*write)(msgpack_packer *pk, const struct relay_msg *msg);
	void (*read)(struct peer_fields *f, struct relay_msg *msg);
};

static const struct kind_codec codecs[] = {
	[RELAY_OFFER] = { 1, write_offer, read_offer },
	[RELAY_PING] = { 0, NULL, NULL },
	[RELAY_PONG] = { 0, NULL, NULL },
	[RELAY_ORDER] = { 15, write_order, read_order },
	[RELAY_REPLY] = { 7, write_reply, read_reply },
	[RELAY_LEAVE] = { 0, NULL, NULL },
	[RELAY_PARTIAL_REPLY] = { 7, write_reply, read_partial_reply },
	[RELAY_SUBMISSION] = { 4, write_submission, read_submission },
};

GBytes *relay_encode(const struct relay_msg *m)
{
	const struct kind_codec *codec = &codecs[m->kind];
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2 + codec->fields);
	msgpack_pack_int(&pk, m->kind);
	msgpack_pack_int64(&pk, m->sent);
	if (codec->write)
		codec->write(&pk, m);
	return peer_sbuffer_to_bytes(&buf);
}

int relay_decode(const uint8_t *data, size_t len, struct relay_msg *m,
		 struct cs_error *err)
{
	const struct kind_codec *codec;
	struct peer_fields f;
	msgpack_zone zone;
	int code;

	memset(m, 0, sizeof(*m));
	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE))
		return cs_error_set(err, CS_ERR_NOMEM, "relay", NULL,
				    "out of memory");
	peer_fields_open(&f, data, len, OBJECTS_MAX, &zone);
	m->kind = (enum relay_kind)peer_read_u64(&f, "kind", RELAY_KIND_MAX);
	m->sent = peer_read_i64(&f, "sent", 0, INT64_MAX / 2);
	codec = &codecs[m->kind];
	if (!f.has_failed && !m->kind)
		peer_fields_fail(&f, "kind", "unknown");
	if (!f.has_failed && codec->read)
		codec->read(&f, m);
	code = peer_fields_close(&f, "relay", err);
	msgpack_zone_destroy(&zone);
	if (!code)
		return CS_OK;
	order_free(m->order);
	order_reply_free(m->reply);
	submission_free(m->submission);
	memset(m, 0, sizeof(*m));
	return code;
}
