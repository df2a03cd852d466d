#include "unit.h"

#include <string.h>

#include "../../src/base/error.h"
#include "../../src/peer/peer_codec.h"

static void fill(char *s, size_t size)
{
	memset(s, 'x', size - 1);
	s[size - 1] = '\0';
}

static void fill_trace(struct trace *t)
{
	t->id_high = UINT64_MAX;
	t->id_low = 1;
	t->span = UINT64_MAX - 1;
	t->parent = 77;
	t->flags = 255;
}

static void fill_summary(struct peer_msg *m)
{
	size_t i;

	cs_copy(m->u.summary.data_centre, sizeof(m->u.summary.data_centre),
		"dc-a");
	m->u.summary.rows_nr = 3;
	m->u.summary.rows = g_new0(struct summary_row, 3);
	for (i = 0; i < 3; i++) {
		struct summary_row *r = &m->u.summary.rows[i];

		fill(r->pool, sizeof(r->pool));
		fill(r->team, i + 1);
		r->queued = INT32_MAX;
		r->running = INT32_MIN;
		r->used_ms = i ? INT64_MAX : INT64_MIN;
	}
}

static void fill_forward(struct submit *s)
{
	s->caller = UINT64_MAX;
	fill(s->queue, sizeof(s->queue));
	fill(s->request_id, sizeof(s->request_id));
	s->has_key = true;
	memset(s->key_digest, 0xa5, sizeof(s->key_digest));
	s->is_idempotent = true;
	s->is_urgent = true;
	s->work = WORK_LONG;
	s->deadline_ms = -5;
	s->hops = 3;
	fill(s->content_type, sizeof(s->content_type));
	s->body = g_bytes_new("body", 4);
	fill_trace(&s->trace);
}

static void fill_reply(struct reply *r)
{
	r->caller = 9;
	r->outcome = OUTCOME_UNKNOWN;
	r->status = 503;
	fill(r->reason, sizeof(r->reason));
	fill(r->step, sizeof(r->step));
	fill(r->peer, sizeof(r->peer));
	r->retry_after_ms = INT64_MAX;
	fill(r->job, sizeof(r->job));
	fill(r->content_type, sizeof(r->content_type));
	r->body = g_bytes_new("", 0);
	fill_trace(&r->trace);
}

/* Fills m with a message of that kind, most fields at a limit. */
static void fill_msg(struct peer_msg *m, enum peer_kind kind)
{
	memset(m, 0, sizeof(*m));
	m->kind = kind;
	m->ref = UINT64_MAX;
	switch (kind) {
	case PEER_HEARTBEAT:
		m->u.heartbeat.revision = UINT64_MAX;
		m->u.heartbeat.holds_watch = true;
		m->u.heartbeat.platform_up = true;
		m->u.heartbeat.is_draining = true;
		break;
	case PEER_SUMMARY:
		fill_summary(m);
		break;
	case PEER_CONFIG:
		m->u.config.revision = 7;
		m->u.config.version = UINT64_MAX;
		m->u.config.document = g_bytes_new("{}", 2);
		break;
	case PEER_CONFIG_ACK:
		m->u.config_ack.revision = UINT64_MAX;
		break;
	case PEER_FORWARD:
		fill_forward(&m->u.forward);
		break;
	case PEER_FORWARD_REPLY:
		fill_reply(&m->u.forward_reply);
		break;
	case PEER_CLAIM:
	case PEER_CLAIM_COPY:
	case PEER_CLAIM_RELEASE:
		m->u.claim.map_version = UINT64_MAX;
		m->u.claim.partition = UINT32_MAX;
		memset(m->u.claim.digest, 0x5a, sizeof(m->u.claim.digest));
		fill(m->u.claim.holder, sizeof(m->u.claim.holder));
		break;
	case PEER_CLAIM_REPLY:
	case PEER_CLAIM_COPY_ACK:
		m->u.claim_reply.map_version = 300;
		m->u.claim_reply.verdict = CLAIM_STALE;
		fill(m->u.claim_reply.holder, sizeof(m->u.claim_reply.holder));
		break;
	case PEER_JOB_COPY:
		m->u.job_copy.record = g_bytes_new("record", 6);
		/* fall through */
	case PEER_JOB_COPY_ACK:
		fill(m->u.job_copy.job, sizeof(m->u.job_copy.job));
		m->u.job_copy.version = 70000;
		break;
	default:
		break;
	}
}

/* Detaches the message's heap data, so that the rest compares bytewise. */
static GBytes *detach(struct peer_msg *m)
{
	GBytes **b, *taken;

	switch (m->kind) {
	case PEER_SUMMARY:
		taken = g_bytes_new_take(m->u.summary.rows,
					 m->u.summary.rows_nr *
						 sizeof(*m->u.summary.rows));
		m->u.summary.rows = NULL;
		return taken;
	case PEER_CONFIG:
		b = &m->u.config.document;
		break;
	case PEER_FORWARD:
		b = &m->u.forward.body;
		break;
	case PEER_FORWARD_REPLY:
		b = &m->u.forward_reply.body;
		break;
	case PEER_JOB_COPY:
		b = &m->u.job_copy.record;
		break;
	default:
		return NULL;
	}
	taken = *b;
	*b = NULL;
	return taken;
}

static void round_trip(struct peer_msg *in)
{
	struct peer_msg out = { 0 };
	GBytes *wire = peer_encode(in), *a, *b;
	gsize len;
	const uint8_t *data = g_bytes_get_data(wire, &len);

	assert_int_equal(peer_decode(data, len, &out, NULL), CS_OK);
	a = detach(in);
	b = detach(&out);
	assert_memory_equal(in, &out, sizeof(out));
	assert_int_equal(!a, !b);
	if (a) {
		assert_true(g_bytes_equal(a, b));
		g_bytes_unref(a);
		g_bytes_unref(b);
	}
	g_bytes_unref(wire);
}

/* Guards against a field that is encoded but not decoded, or not encoded. */
static void every_kind_round_trips(void **state)
{
	struct peer_msg m;
	int kind;

	(void)state;
	for (kind = 0; kind < PEER_KIND_NR; kind++) {
		fill_msg(&m, (enum peer_kind)kind);
		round_trip(&m);
		memset(&m, 0, sizeof(m));
		m.kind = (enum peer_kind)kind;
		round_trip(&m);
	}
}

/* Decodes a copy of exactly len bytes, so that ASan detects reads beyond it. */
static int decode_copy(const uint8_t *data, size_t len)
{
	uint8_t *copy = g_memdup2(data, len);
	struct peer_msg out = { 0 };
	struct peer_msg zero = { 0 };
	struct cs_error err = { 0 };
	int code = peer_decode(copy, len, &out, &err);

	if (code) {
		assert_int_equal(code, CS_ERR_INVALID);
		assert_string_equal(err.step, "peer_decode");
		assert_true(*err.message);
		assert_memory_equal(&out, &zero, sizeof(out));
	}
	peer_msg_clear(&out);
	g_free(copy);
	return code;
}

/* A message that is truncated at any byte, or has one too many, is refused. */
static void truncated_and_overlong_messages_are_refused(void **state)
{
	struct peer_msg m;
	int kind;

	(void)state;
	for (kind = 0; kind < PEER_KIND_NR; kind++) {
		GByteArray *longer = g_byte_array_new();
		const uint8_t *data;
		GBytes *wire;
		gsize len, i;

		fill_msg(&m, (enum peer_kind)kind);
		wire = peer_encode(&m);
		data = g_bytes_get_data(wire, &len);
		for (i = 0; i < len; i++)
			assert_int_equal(decode_copy(data, i), CS_ERR_INVALID);
		g_byte_array_append(longer, data, (guint)len);
		g_byte_array_append(longer, (const uint8_t *)"\xc0", 1);
		assert_int_equal(decode_copy(longer->data, longer->len),
				 CS_ERR_INVALID);
		g_byte_array_free(longer, TRUE);
		g_bytes_unref(wire);
		peer_msg_clear(&m);
	}
}

/* A corrupted message must not crash, leak, or leave a partly filled struct. */
static void corrupted_messages_are_safe(void **state)
{
	GRand *rng = g_rand_new_with_seed(4711);
	struct peer_msg m;
	int kind, round, flips;

	(void)state;
	for (kind = 0; kind < PEER_KIND_NR; kind++) {
		uint8_t *data;
		GBytes *wire;
		gsize len;

		fill_msg(&m, (enum peer_kind)kind);
		wire = peer_encode(&m);
		peer_msg_clear(&m);
		for (round = 0; round < 2000; round++) {
			data = g_memdup2(g_bytes_get_data(wire, &len),
					 g_bytes_get_size(wire));
			for (flips = g_rand_int_range(rng, 1, 4); flips;
			     flips--)
				data[g_rand_int_range(rng, 0, (gint32)len)] =
					(uint8_t)g_rand_int(rng);
			decode_copy(data, len);
			g_free(data);
		}
		g_bytes_unref(wire);
	}
	g_rand_free(rng);
}

/* Each case violates exactly one rule of the format. */
static void malformed_messages_are_refused(void **state)
{
#define CASE(bytes)                                                            \
	{                                                                      \
		(const uint8_t *)(bytes), sizeof(bytes) - 1,                   \
	}
	static const struct {
		const uint8_t *data;
		size_t len;
	} cases[] = {
		CASE("\x01"), /* not an array */
		CASE("\x93\x0d\xc0\x01"), /* unknown kind */
		CASE("\x93\xa1x\xc0\x01"), /* kind is a string */
		CASE("\x94\x03\xc0\x01\xa1x"), /* revision is a string */
		CASE("\x94\x03\xc0\x01\xff"), /* negative revision */
		CASE("\x95\x03\xc0\x01\x01\x01"), /* one field too many */
		CASE("\x93\x03\xc0\x01"), /* one field too few */
		CASE("\x94\x03\x91\x01\x01\x01"), /* unexpected trace */
		CASE("\x96\x08\xc0\x01\x01\x04\xa0"), /* unknown verdict */
		CASE("\x96\x08\xc0\x01\x01\x01\xa1\0"), /* NUL in a name */
		CASE("\xdd\xff\xff\xff\xff"), /* array of 4 G values */
		CASE("\x95\x01\xc0\x01\xc2\xdd\xff\xff\xff\xff"), /* rows */
		CASE("\x95\x01\xc0\x01\xc2\x91\x94\xa0\xa0\x01\x01"), /* row */
		CASE("\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01"), /* depth */
		CASE("\x94\x03\xc0\x01\xca\0\0\0\0"), /* float */
		CASE("\x94\x03\xc0\x01\x81\x01\x01"), /* map */
		CASE("\x94\x03\xc0\x01\xc1"), /* unused first byte */
	};
	struct peer_msg m;
	char holder[CS_NAME_MAX + 8];
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		if (decode_copy(cases[i].data, cases[i].len) != CS_ERR_INVALID)
			fail_msg("case %zu was accepted", i);

	/* 64 characters and the final NUL do not fit into a name. */
	i = (size_t)g_snprintf(holder, sizeof(holder),
			       "\x96\x08%c\x01\x01\x01\xd9%c", 0xc0, 64);
	memset(holder + i, 'x', 64);
	assert_int_equal(decode_copy((uint8_t *)holder, i + 64),
			 CS_ERR_INVALID);
	holder[i - 1] = 63;
	assert_int_equal(decode_copy((uint8_t *)holder, i + 63), CS_OK);
	memset(&m, 0, sizeof(m));
	m.kind = PEER_KIND_NR;
	assert_null(peer_encode(&m));
#undef CASE
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_kind_round_trips),
		cmocka_unit_test(truncated_and_overlong_messages_are_refused),
		cmocka_unit_test(corrupted_messages_are_safe),
		cmocka_unit_test(malformed_messages_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
