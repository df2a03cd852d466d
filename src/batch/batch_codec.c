#include "batch_codec.h"

#include <math.h>
#include <msgpack.h>
#include <string.h>

#include "../base/error.h"

/* Format numbers. A change of the layout needs a new one. */
#define SUBMISSION_FORMAT 1
#define PROGRESS_FORMAT 1
/*
 * Numbers of elements of the outer arrays. Readers ignore further elements, so
 * one can be added at the end if it may be missing.
 */
#define SUBMISSION_LEN 14
/* Submissions of earlier versions have no terms, no limit or no pools.
 */
#define SUBMISSION_LEN_MIN 10
#define SUBMISSION_LEN_LIMIT 12
#define PROGRESS_LEN 5
/* Progress of earlier versions has no pools and no workspace. */
#define PROGRESS_LEN_MIN 3
#define TERMS_LEN 8
#define LIMIT_LEN 3

static void pack_text(msgpack_packer *pk, const char *s)
{
	size_t len = s ? strlen(s) : 0;

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s ? s : "", len);
}

static void pack_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void pack_step(msgpack_packer *pk, const struct batch_step *s)
{
	unsigned int flags = (s->is_checkpointing ? 1U : 0U) |
			     (s->is_gang ? 2U : 0U) |
			     (s->prefers_same_rack ? 4U : 0U) |
			     (s->allows_speculation ? 8U : 0U) |
			     (s->is_long_running ? 16U : 0U) |
			     (s->is_best_effort ? 32U : 0U);
	int i;

	msgpack_pack_array(pk, 13);
	msgpack_pack_int(pk, s->count);
	msgpack_pack_int64(pk, s->need.cpu);
	msgpack_pack_int64(pk, s->need.memory_mb);
	msgpack_pack_int64(pk, s->need.accelerators);
	msgpack_pack_int64(pk, s->estimate_ms);
	msgpack_pack_array(pk, (size_t)s->after_nr);
	for (i = 0; i < s->after_nr; i++)
		msgpack_pack_int(pk, s->after[i]);
	msgpack_pack_unsigned_int(pk, flags);
	msgpack_pack_int(pk, s->per_server_max);
	msgpack_pack_int(pk, s->unavailable_max);
	msgpack_pack_int64(pk, s->tail_target_ms);
	pack_text(pk, s->label);
	pack_text(pk, s->rack);
	pack_text(pk, s->image);
}

static void pack_terms(msgpack_packer *pk, const struct site_terms *t)
{
	msgpack_pack_array(pk, TERMS_LEN);
	pack_text(pk, t->pool);
	msgpack_pack_int(pk, t->priority);
	msgpack_pack_int(pk, t->attempts_max);
	msgpack_pack_double(pk, t->stretch);
	msgpack_pack_int64(pk, t->target_ms);
	msgpack_pack_int64(pk, t->advice.decision_ms);
	msgpack_pack_int64(pk, t->advice.per_worker_ms);
	msgpack_pack_int64(pk, t->advice.validity_ms);
}

static void pack_limit(msgpack_packer *pk, const struct site_resources *limit)
{
	msgpack_pack_array(pk, LIMIT_LEN);
	msgpack_pack_int64(pk, limit->cpu);
	msgpack_pack_int64(pk, limit->memory_mb);
	msgpack_pack_int64(pk, limit->accelerators);
}

/* Copies what was packed, and releases the buffer. */
static GBytes *take_buffer(msgpack_sbuffer *buf)
{
	GBytes *bytes = g_bytes_new(buf->data, buf->size);

	msgpack_sbuffer_destroy(buf);
	return bytes;
}

static void pack_pools(msgpack_packer *pk, const GPtrArray *pools)
{
	guint i, n = pools ? pools->len : 0;

	msgpack_pack_array(pk, n);
	for (i = 0; i < n; i++)
		pack_text(pk, g_ptr_array_index(pools, i));
}

GBytes *batch_encode_submission(const struct batch *b)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	int i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, SUBMISSION_LEN);
	msgpack_pack_int(&pk, SUBMISSION_FORMAT);
	pack_text(&pk, b->id);
	pack_text(&pk, b->queue);
	pack_text(&pk, b->workspace);
	msgpack_pack_int64(&pk, b->submitted_unix_ms);
	pack_text(&pk, b->spec->payload);
	msgpack_pack_int(&pk, b->spec->repeats);
	msgpack_pack_int64(&pk, b->spec->start_unix_ms);
	msgpack_pack_int64(&pk, b->spec->interval_ms);
	msgpack_pack_array(&pk, (size_t)b->spec->steps_nr);
	for (i = 0; i < b->spec->steps_nr; i++)
		pack_step(&pk, &b->spec->steps[i]);
	pack_terms(&pk, &b->terms);
	pack_limit(&pk, &b->limit);
	pack_pools(&pk, b->pools);
	msgpack_pack_uint64(&pk, b->begun_owner);
	return take_buffer(&buf);
}

/* Each reader returns false when the element has another type. */
static bool read_int(const msgpack_object *o, int64_t *value)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return false;
	*value = o->via.i64;
	return true;
}

static bool read_text(const msgpack_object *o, char *out, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size ||
	    (o->via.str.size && memchr(o->via.str.ptr, '\0', o->via.str.size)))
		return false;
	/* The pointer of an empty text may be NULL. */
	if (o->via.str.size)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

/* Reads a name into a string of its own; an empty one reads as NULL. */
static bool read_name(const msgpack_object *o, char **name)
{
	char text[SITE_NAME_MAX];

	if (!read_text(o, text, sizeof(text)))
		return false;
	*name = *text ? g_strdup(text) : NULL;
	return true;
}

static bool read_range(const msgpack_object *o, int64_t min, int64_t max,
		       int64_t *value)
{
	return read_int(o, value) && *value >= min && *value <= max;
}

static bool read_real(const msgpack_object *o, double *value)
{
	if (o->type != MSGPACK_OBJECT_FLOAT64)
		return false;
	*value = o->via.f64;
	return isfinite(*value);
}

static bool is_array(const msgpack_object *o, uint32_t min)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= min;
}

static bool read_after(const msgpack_object *o, struct batch_step *s)
{
	int64_t value;
	uint32_t i;

	if (!is_array(o, 0) || o->via.array.size > BATCH_STEPS_MAX)
		return false;
	s->after = g_new0(int, o->via.array.size);
	for (i = 0; i < o->via.array.size; i++) {
		if (!read_int(&o->via.array.ptr[i], &value))
			return false;
		s->after[i] = (int)value;
		s->after_nr++;
	}
	return true;
}

static bool read_step(const msgpack_object *o, struct batch_step *s)
{
	const msgpack_object *f;
	int64_t count, flags, per_server, unavailable;

	if (!is_array(o, 13))
		return false;
	f = o->via.array.ptr;
	if (!read_int(&f[0], &count) || !read_int(&f[1], &s->need.cpu) ||
	    !read_int(&f[2], &s->need.memory_mb) ||
	    !read_int(&f[3], &s->need.accelerators) ||
	    !read_int(&f[4], &s->estimate_ms) || !read_after(&f[5], s) ||
	    !read_int(&f[6], &flags) || !read_int(&f[7], &per_server) ||
	    !read_int(&f[8], &unavailable) ||
	    !read_int(&f[9], &s->tail_target_ms) ||
	    !read_name(&f[10], &s->label) || !read_name(&f[11], &s->rack) ||
	    !read_name(&f[12], &s->image))
		return false;
	s->count = (int)count;
	s->per_server_max = (int)per_server;
	s->unavailable_max = (int)unavailable;
	s->is_checkpointing = flags & 1;
	s->is_gang = flags & 2;
	s->prefers_same_rack = flags & 4;
	s->allows_speculation = flags & 8;
	s->is_long_running = flags & 16;
	s->is_best_effort = flags & 32;
	return true;
}

static bool read_terms(const msgpack_object *o, struct site_terms *t)
{
	const msgpack_object *f;
	int64_t priority, attempts;

	if (!is_array(o, TERMS_LEN))
		return false;
	f = o->via.array.ptr;
	if (!read_text(&f[0], t->pool, sizeof(t->pool)) ||
	    !read_range(&f[1], INT32_MIN, INT32_MAX, &priority) ||
	    !read_range(&f[2], 0, INT32_MAX, &attempts) ||
	    !read_real(&f[3], &t->stretch) || !read_int(&f[4], &t->target_ms) ||
	    !read_int(&f[5], &t->advice.decision_ms) ||
	    !read_int(&f[6], &t->advice.per_worker_ms) ||
	    !read_int(&f[7], &t->advice.validity_ms))
		return false;
	t->priority = (int)priority;
	t->attempts_max = (int)attempts;
	return true;
}

static bool read_limit(const msgpack_object *o, struct site_resources *limit)
{
	const msgpack_object *f;

	if (!is_array(o, LIMIT_LEN))
		return false;
	f = o->via.array.ptr;
	return read_range(&f[0], 0, INT64_MAX, &limit->cpu) &&
	       read_range(&f[1], 0, INT64_MAX, &limit->memory_mb) &&
	       read_range(&f[2], 0, INT64_MAX, &limit->accelerators);
}

static bool read_pools(struct batch *b, const msgpack_object *o)
{
	char name[SITE_NAME_MAX];
	uint32_t i;

	if (!is_array(o, 0))
		return false;
	for (i = 0; i < o->via.array.size; i++) {
		if (!read_text(&o->via.array.ptr[i], name, sizeof(name)))
			return false;
		batch_begin(b, name);
	}
	return true;
}

static struct batch *read_submission(const msgpack_object *o)
{
	char id[BATCH_ID_MAX], queue[SITE_NAME_MAX], workspace[SITE_NAME_MAX];
	char payload[BATCH_PAYLOAD_MAX + 1];
	struct batch_spec *spec = NULL;
	struct site_terms terms = { 0 };
	struct site_resources limit = { 0 };
	const msgpack_object *f;
	int64_t format, submitted, repeats;
	struct batch *b;
	uint32_t i;

	if (!is_array(o, SUBMISSION_LEN_MIN))
		return NULL;
	f = o->via.array.ptr;
	if (!read_int(&f[0], &format) || format != SUBMISSION_FORMAT ||
	    !read_text(&f[1], id, sizeof(id)) || !batch_id_is_valid(id) ||
	    !read_text(&f[2], queue, sizeof(queue)) ||
	    !read_text(&f[3], workspace, sizeof(workspace)) ||
	    !read_int(&f[4], &submitted) ||
	    !read_text(&f[5], payload, sizeof(payload)) ||
	    !read_int(&f[6], &repeats) || !is_array(&f[9], 1) ||
	    f[9].via.array.size > BATCH_STEPS_MAX)
		return NULL;
	spec = batch_spec_create((int)f[9].via.array.size);
	spec->payload = g_strdup(payload);
	spec->repeats = (int)repeats;
	if (!read_int(&f[7], &spec->start_unix_ms) ||
	    !read_int(&f[8], &spec->interval_ms))
		goto fail;
	for (i = 0; i < f[9].via.array.size; i++)
		if (!read_step(&f[9].via.array.ptr[i], &spec->steps[i]))
			goto fail;
	if (batch_spec_check(spec, NULL))
		goto fail;
	b = batch_create(id, queue, workspace, submitted, spec);
	b->has_terms = o->via.array.size > SUBMISSION_LEN_MIN &&
		       read_terms(&f[10], &terms);
	if (b->has_terms)
		b->terms = terms;
	if (o->via.array.size >= SUBMISSION_LEN_LIMIT &&
	    read_limit(&f[11], &limit))
		b->limit = limit;
	if (o->via.array.size >= SUBMISSION_LEN &&
	    (!read_pools(b, &f[12]) ||
	     f[13].type != MSGPACK_OBJECT_POSITIVE_INTEGER)) {
		batch_destroy(b);
		return NULL;
	}
	if (o->via.array.size >= SUBMISSION_LEN)
		b->begun_owner = f[13].via.u64;
	return b;
fail:
	batch_spec_destroy(spec);
	return NULL;
}

struct batch *batch_decode_submission(const void *data, size_t size)
{
	struct batch *b = NULL;
	msgpack_unpacked un;
	size_t off = 0;

	msgpack_unpacked_init(&un);
	if (msgpack_unpack_next(&un, data, size, &off) ==
	    MSGPACK_UNPACK_SUCCESS)
		b = read_submission(&un.data);
	msgpack_unpacked_destroy(&un);
	return b;
}

/*
 * Bytes of checkpoints in the progress of a job. With this and the rest of
 * BATCH_TASKS_MAX tasks it fits into one value of the store, 1 MiB. A task
 * whose checkpoint is left out starts anew with the next owner.
 */
#define CHECKPOINT_BYTES_MAX ((size_t)512 * 1024)

/* A task without any progress is not stored. */
static bool has_progress(const struct batch_task *t)
{
	return t->state == BATCH_TASK_DONE || t->run || t->failures ||
	       t->checkpoint;
}

/* [index, done, run, failed runs, ended run, checkpoint] for each task. */
static void pack_occurrence(msgpack_packer *pk, const struct batch *b,
			    int occurrence, size_t *checkpoint_bytes)
{
	const struct batch_task *t;
	size_t n = 0, len;
	int i, k;

	for (i = -1; (t = batch_next_row(b, occurrence, &i));)
		n += has_progress(t);
	msgpack_pack_array(pk, 2);
	pack_bool(pk, batch_occurrence_is_done(b, occurrence));
	msgpack_pack_array(pk, n);
	for (i = -1; (t = batch_next_row(b, occurrence, &i));) {
		if (!has_progress(t))
			continue;
		msgpack_pack_array(pk, 6);
		msgpack_pack_int(pk, i);
		pack_bool(pk, t->state == BATCH_TASK_DONE);
		msgpack_pack_uint32(pk, t->run);
		msgpack_pack_array(pk, t->failures);
		for (k = 0; k < t->failures; k++)
			msgpack_pack_uint32(pk, t->failed_runs[k]);
		msgpack_pack_uint32(pk, t->ended_run);
		len = t->checkpoint ? strlen(t->checkpoint) : 0;
		if (*checkpoint_bytes + len > CHECKPOINT_BYTES_MAX) {
			pack_text(pk, NULL);
			continue;
		}
		*checkpoint_bytes += len;
		pack_text(pk, t->checkpoint);
	}
}

GBytes *batch_encode_progress(const struct batch *b)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;
	bool is_final = batch_is_final(b);
	size_t checkpoint_bytes = 0;
	/* Those from the end on have no progress. */
	int end = is_final ? 0 : batch_occurrences_end(b), i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, PROGRESS_LEN);
	msgpack_pack_int(&pk, PROGRESS_FORMAT);
	msgpack_pack_int(&pk, b->state);
	msgpack_pack_array(&pk, (size_t)end);
	for (i = 0; i < end; i++)
		pack_occurrence(&pk, b, i, &checkpoint_bytes);
	pack_pools(&pk, is_final ? NULL : b->pools);
	pack_text(&pk, b->workspace);
	return take_buffer(&buf);
}

static bool read_task(struct batch *b, int occurrence, const msgpack_object *o)
{
	const msgpack_object *f;
	int64_t index, run, failed, ended;
	struct batch_task *t;
	uint32_t i;
	int step;

	if (!is_array(o, 6))
		return false;
	f = o->via.array.ptr;
	if (!read_int(&f[0], &index) || f[1].type != MSGPACK_OBJECT_BOOLEAN ||
	    !read_int(&f[2], &run) || !is_array(&f[3], 0) ||
	    !read_int(&f[4], &ended) || f[5].type != MSGPACK_OBJECT_STR ||
	    index < 0 || index >= b->occurrence_tasks)
		return false;
	for (step = b->spec->steps_nr - 1; b->offsets[step] > index; step--)
		;
	t = batch_task_row(b, occurrence, step, (int)index - b->offsets[step]);
	t->run = (uint32_t)run;
	for (i = 0; i < f[3].via.array.size; i++) {
		if (!read_int(&f[3].via.array.ptr[i], &failed))
			return false;
		batch_task_add_failure(b, t, (uint32_t)failed);
	}
	t->ended_run = (uint32_t)ended;
	/* Of any length, as another version may accept longer ones. */
	if (f[5].via.str.size)
		batch_task_restore_checkpoint(b, t, f[5].via.str.ptr,
					      f[5].via.str.size);
	if (f[1].via.boolean)
		batch_task_restore_done(b, t);
	return true;
}

static bool read_occurrence(struct batch *b, int occurrence,
			    const msgpack_object *o)
{
	const msgpack_object *f;
	uint32_t i;

	if (!is_array(o, 2))
		return false;
	f = o->via.array.ptr;
	if (f[0].type != MSGPACK_OBJECT_BOOLEAN || !is_array(&f[1], 0))
		return false;
	if (f[0].via.boolean) {
		batch_restore_done(b, occurrence);
		return true;
	}
	if (!f[1].via.array.size)
		return true;
	batch_open_occurrence(b, occurrence);
	for (i = 0; i < f[1].via.array.size; i++)
		if (!read_task(b, occurrence, &f[1].via.array.ptr[i]))
			return false;
	return true;
}

static bool read_progress(struct batch *b, const msgpack_object *o,
			  enum batch_state *state,
			  char workspace[SITE_NAME_MAX])
{
	const msgpack_object *f;
	int64_t format, value;
	uint32_t i;

	if (!is_array(o, PROGRESS_LEN_MIN))
		return false;
	f = o->via.array.ptr;
	if (!read_int(&f[0], &format) || format != PROGRESS_FORMAT ||
	    !read_int(&f[1], &value) || value < BATCH_QUEUED ||
	    value > BATCH_CANCELLED || !is_array(&f[2], 0))
		return false;
	*state = (enum batch_state)value;
	*workspace = '\0';
	if (o->via.array.size >= PROGRESS_LEN &&
	    !read_text(&f[4], workspace, SITE_NAME_MAX))
		return false;
	if (!b)
		return true;
	b->state = *state;
	if (f[2].via.array.size > (uint32_t)b->occurrences_nr)
		return false;
	for (i = 0; i < f[2].via.array.size; i++)
		if (!read_occurrence(b, (int)i, &f[2].via.array.ptr[i]))
			return false;
	return o->via.array.size <= PROGRESS_LEN_MIN || read_pools(b, &f[3]);
}

/* Decodes progress. If b is NULL, only the state is decoded. */
static int decode_progress(struct batch *b, const void *data, size_t size,
			   enum batch_state *state,
			   char workspace[SITE_NAME_MAX])
{
	msgpack_unpacked un;
	size_t off = 0;
	bool is_read;

	msgpack_unpacked_init(&un);
	is_read = msgpack_unpack_next(&un, data, size, &off) ==
			  MSGPACK_UNPACK_SUCCESS &&
		  read_progress(b, &un.data, state, workspace);
	msgpack_unpacked_destroy(&un);
	return is_read ? CS_OK : CS_ERR_INVALID;
}

int batch_decode_progress(struct batch *b, const void *data, size_t size)
{
	char workspace[SITE_NAME_MAX];
	enum batch_state state;

	return decode_progress(b, data, size, &state, workspace);
}

int batch_decode_state(const void *data, size_t size, enum batch_state *state,
		       char workspace[SITE_NAME_MAX])
{
	return decode_progress(NULL, data, size, state, workspace);
}
