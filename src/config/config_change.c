#include "config_state.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "codec.h"

/* Changes that wait at one entry; operators and planner send a few. */
#define OPS_MAX 256

/* How often a change is applied again after others were faster. */
#define ATTEMPTS_MAX 5

/* Longest wait for the platform in each state of a change. */
#define OP_TIMEOUT (5 * CS_SEC)

enum op_state {
	OP_WAITING, /* for the changes before it */
	OP_READING, /* the newest document */
	OP_WRITING, /* by compare-and-swap */
	OP_VERIFYING, /* the answer was retry_after_conflict: did the write take
			 effect? */
	OP_DONE
};

/* One change list or whole document of an operator or a part. */
struct config_op {
	uint64_t ref;
	config_changed_fn fn;
	struct change *changes;
	size_t changes_nr;
	struct document *replacement; /* NULL for a change list */
	uint64_t expected; /* revision, 0 for any */
	bool is_dry_run;
	enum op_state state;
	cs_time since; /* of the state */
	uint64_t token; /* of the call it waits for, 0 if none */
	int attempts;
	/* what is being written */
	GBytes *bytes;
	uint64_t version; /* of the row that it replaces */
	uint64_t revision;
	char change_id[DOCUMENT_CHANGE_ID_MAX];
	char *diff;
};

static void op_free(struct config_op *op)
{
	g_free(op->changes);
	document_destroy(op->replacement);
	if (op->bytes)
		g_bytes_unref(op->bytes);
	g_free(op->diff);
	g_free(op);
}

void config_ops_destroy(struct config_sync *s)
{
	struct config_op *op;

	while ((op = g_queue_pop_head(&s->ops)))
		op_free(op);
}

static void set_state(struct part_ctx *ctx, struct config_op *op,
		      enum op_state state)
{
	op->state = state;
	op->since = ctx->now;
}

/* Begins the first change that waits, unless one is at work. */
static void start_next_op(struct part_ctx *ctx)
{
	struct config_op *op = g_queue_peek_head(&ctx->parts.config->ops);

	if (!op || op->state != OP_WAITING)
		return;
	set_state(ctx, op, OP_READING);
	op->token = config_read_document(ctx);
}

/* Ends a change with its only answer; op is gone afterwards. */
static void finish(struct part_ctx *ctx, struct config_op *op, int code,
		   uint64_t revision, const char *detail)
{
	char labels[48];

	g_snprintf(labels, sizeof(labels), "result=\"%s\"", cs_code_name(code));
	counters_add(ctx->counters, "config_changes_total", labels, 1);
	g_queue_remove(&ctx->parts.config->ops, op);
	op->state = OP_DONE;
	op->fn(ctx, op->ref, code, revision, detail);
	op_free(op);
	start_next_op(ctx);
}

/* Shows an operator who was too late what the others changed. */
static void finish_conflict(struct part_ctx *ctx, struct config_op *op)
{
	const struct config_sync *s = ctx->parts.config;
	uint64_t current = document_revision(s->doc);
	GString *detail = g_string_new(NULL);

	if (op->expected) {
		g_string_append_printf(detail,
				       "revision %" PRIu64
				       " was expected, %" PRIu64
				       " is present\n",
				       op->expected, current);
		config_history_since(s, op->expected, detail);
	} else {
		g_string_append_printf(
			detail,
			"others were faster %d times, revision %" PRIu64
			" is present\n",
			op->attempts, current);
		config_history_since(s, op->revision - 1, detail);
	}
	finish(ctx, op, CS_ERR_CONFLICT, current, detail->str);
	g_string_free(detail, TRUE);
}

/* Applies each change and appends the faults of those that are refused. */
static struct document *apply_changes(const struct document *base,
				      const struct config_op *op,
				      GString *faults)
{
	struct document *next = document_copy(base);
	struct cs_error err;
	size_t i;

	for (i = 0; i < op->changes_nr; i++)
		if (document_apply(next, &op->changes[i], &err))
			g_string_append_printf(
				faults, "change %zu (%s): %s\n", i + 1,
				change_op_name(op->changes[i].op), err.message);
	return next;
}

/* The next document, not yet checked as a whole. */
static struct document *build_next(const struct document *base,
				   const struct config_op *op, GString *faults)
{
	if (!op->replacement)
		return apply_changes(base, op, faults);
	document_check_replace(base, op->replacement, faults);
	return document_copy(op->replacement);
}

/* Writes what is prepared; the same call again has the same effect. */
static void send_write(struct part_ctx *ctx, struct config_op *op)
{
	struct msg *msg;

	op->token = config_new_token(ctx);
	msg = part_kv_call(PART_CONFIG, KV_CAS, CONFIG_KEY, op->token);
	msg->u.kv_call.version = op->version;
	msg->u.kv_call.value = g_bytes_ref(op->bytes);
	cs_copy(msg->u.kv_call.change_id, sizeof(msg->u.kv_call.change_id),
		op->change_id);
	part_emit(ctx, msg);
}

/* Unique even if two entries were given the same seed. */
static void generate_change_id(struct part_ctx *ctx, struct config_op *op)
{
	g_snprintf(op->change_id, sizeof(op->change_id),
		   "%08x-%" PRIx64 "-%x-%08x", g_str_hash(ctx->options->id),
		   ctx->options->incarnation,
		   (unsigned)++ctx->parts.config->last_change_nr,
		   g_rand_int(ctx->rng));
}

/* Gives next its revision and change identifier and writes it. */
static void write_next(struct part_ctx *ctx, struct config_op *op,
		       struct document *next, uint64_t version)
{
	const struct document *base = ctx->parts.config->doc;

	generate_change_id(ctx, op);
	op->version = version;
	op->revision = document_revision(base) + 1;
	document_set_revision(next, op->revision);
	document_set_change_id(next, op->change_id);
	if (op->bytes)
		g_bytes_unref(op->bytes);
	op->bytes = document_codec_json.encode(next);
	if (g_bytes_get_size(op->bytes) > (gsize)CS_VALUE_MAX) {
		finish(ctx, op, CS_ERR_INVALID, document_revision(base),
		       "the document would be longer than 1 MB\n");
		return;
	}
	set_state(ctx, op, OP_WRITING);
	send_write(ctx, op);
}

/*
 * Applies the change to the document in force, which is at least as new as
 * the platform's row of that version, and writes the result.
 */
static void build_and_write(struct part_ctx *ctx, struct config_op *op,
			    uint64_t version)
{
	const struct document *base = ctx->parts.config->doc;
	uint64_t current = document_revision(base);
	GString *faults, *diff;
	struct document *next;

	if (op->expected && op->expected != current) {
		finish_conflict(ctx, op);
		return;
	}
	faults = g_string_new(NULL);
	next = build_next(base, op, faults);
	document_check(next, faults);
	diff = g_string_new(NULL);
	document_diff(base, next, diff);
	g_free(op->diff);
	op->diff = g_string_free(diff, FALSE);
	if (faults->len)
		finish(ctx, op, CS_ERR_INVALID, current, faults->str);
	else if (!*op->diff)
		finish(ctx, op, CS_OK, current, "");
	else if (op->is_dry_run)
		finish(ctx, op, CS_OK, current + 1, op->diff);
	else
		write_next(ctx, op, next, version);
	g_string_free(faults, TRUE);
	document_destroy(next);
}

/* The platform's row was read. One that was refused is never overwritten. */
static void apply_to_row(struct part_ctx *ctx, struct config_op *op,
			 const struct kv_row *row)
{
	if (config_accept_document(ctx, row->value, row->version, NULL) ==
	    CS_ERR_INVALID)
		finish(ctx, op, CS_ERR_INVALID,
		       document_revision(ctx->parts.config->doc),
		       "the platform's document is damaged, see the log\n");
	else
		build_and_write(ctx, op, row->version);
}

static void finish_accepted(struct part_ctx *ctx, struct config_op *op,
			    uint64_t version)
{
	config_accept_document(ctx, op->bytes, version, NULL);
	finish(ctx, op, CS_OK, op->revision, op->diff);
}

/*
 * Another change took the place: this one is applied again, which ends in a
 * conflict if the operator named the revision that it was made for.
 */
static void retry_after_conflict(struct part_ctx *ctx, struct config_op *op,
				 const struct kv_row *row)
{
	op->attempts++;
	if (op->attempts >= ATTEMPTS_MAX) {
		finish_conflict(ctx, op);
	} else if (row) {
		apply_to_row(ctx, op, row);
	} else {
		set_state(ctx, op, OP_READING);
		op->token = config_read_document(ctx);
	}
}

/* True if the row is what op wrote; its change id makes it unique. */
static bool is_written_by(const struct config_op *op, const struct kv_row *row)
{
	return g_bytes_equal(row->value, op->bytes);
}

/* An answer to the read that a change begins with. */
static void read_done(struct part_ctx *ctx, struct config_op *op,
		      const struct kv_done *done)
{
	const struct kv_row *row = config_find_row(done);

	if (done->result == KV_OK && row)
		apply_to_row(ctx, op, row);
	else if (done->result == KV_MISSING)
		build_and_write(ctx, op, 0);
	else
		finish(ctx, op, CS_ERR_IO,
		       document_revision(ctx->parts.config->doc),
		       "the platform can't be reached\n");
}

/* The outcome of a write is unknown: it is read back by its change id. */
static void verify_write(struct part_ctx *ctx, struct config_op *op)
{
	set_state(ctx, op, OP_VERIFYING);
	op->token = config_read_document(ctx);
}

/*
 * Takes the outcome of a change's write. A conflict with a row that carries the
 * change's own id means that an earlier attempt was applied; an unknown outcome
 * is settled by reading back.
 */
static void write_done(struct part_ctx *ctx, struct config_op *op,
		       const struct kv_done *done)
{
	const struct kv_row *row = config_find_row(done);

	if (done->result == KV_OK)
		finish_accepted(ctx, op, done->version);
	else if (row && is_written_by(op, row))
		finish_accepted(ctx, op, row->version);
	else if (done->result == KV_CONFLICT || done->result == KV_MISSING)
		retry_after_conflict(ctx, op, row);
	else if (done->result == KV_UNKNOWN &&
		 !MUTANT(ctx, "config-lost-answer-is-failure"))
		verify_write(ctx, op);
	else
		finish(ctx, op, CS_ERR_IO,
		       document_revision(ctx->parts.config->doc),
		       "the platform can't be reached\n");
}

/*
 * A row that shows what became of a write without an answer. Revisions follow
 * one another, so whoever wrote the revision that this change aimed at
 * decides; for a later row the history may know.
 */
static void verify_by_row(struct part_ctx *ctx, struct config_op *op,
			  const struct kv_row *row, enum kv_op call)
{
	const struct config_sync *s = ctx->parts.config;
	const char *writer;

	if (is_written_by(op, row)) {
		finish_accepted(ctx, op, row->version);
		return;
	}
	if (row->version == op->version) {
		/*
		 * The first write may still arrive. Writing the same again
		 * makes sure that one of both has been judged. A refusal that
		 * names the version asked for waits for the next tick.
		 */
		if (call == KV_GET)
			send_write(ctx, op);
		return;
	}
	config_accept_document(ctx, row->value, row->version, NULL);
	writer = config_history_change_id(s, op->revision);
	if (!writer)
		finish(ctx, op, CS_ERR_TIMEOUT, document_revision(s->doc),
		       "a later change hides the outcome\n");
	else if (strcmp(writer, op->change_id) != 0)
		retry_after_conflict(ctx, op, row);
	else
		finish(ctx, op, CS_OK, op->revision, op->diff);
}

/* Takes an answer while the outcome of an earlier write is unknown. */
static void verify_done(struct part_ctx *ctx, struct config_op *op,
			const struct kv_done *done)
{
	const struct kv_row *row = config_find_row(done);

	if (done->op == KV_CAS && done->result == KV_OK)
		finish_accepted(ctx, op, done->version);
	else if (row)
		verify_by_row(ctx, op, row, done->op);
	else if (done->op == KV_GET && done->result == KV_MISSING &&
		 !op->version)
		send_write(ctx, op);
	/* else the next tick reads again */
}

static void (*const done_table[])(struct part_ctx *ctx, struct config_op *op,
				  const struct kv_done *done) = {
	[OP_READING] = read_done,
	[OP_WRITING] = write_done,
	[OP_VERIFYING] = verify_done,
};

bool config_ops_done(struct part_ctx *ctx, const struct kv_done *done)
{
	struct config_op *op = g_queue_peek_head(&ctx->parts.config->ops);

	if (!op || !op->token || op->token != done->token)
		return false;
	op->token = 0;
	done_table[op->state](ctx, op, done);
	return true;
}

/* Ends what has waited too long, and reads again where no call waits. */
static void check_op_timeout(struct part_ctx *ctx, struct config_op *op)
{
	uint64_t current = document_revision(ctx->parts.config->doc);
	bool has_timed_out = ctx->now - op->since >= OP_TIMEOUT;

	switch (op->state) {
	case OP_WAITING:
	case OP_READING:
		if (has_timed_out)
			finish(ctx, op, CS_ERR_IO, current,
			       "the platform does not answer\n");
		break;
	case OP_WRITING:
		if (has_timed_out)
			verify_write(ctx, op);
		break;
	case OP_VERIFYING:
		if (has_timed_out)
			finish(ctx, op, CS_ERR_TIMEOUT, current,
			       "the outcome could not be read back\n");
		else if (!op->token)
			op->token = config_read_document(ctx);
		break;
	case OP_DONE:
		break;
	}
}

void config_ops_tick(struct part_ctx *ctx)
{
	GList *ops = g_list_copy(ctx->parts.config->ops.head), *i;

	/* An answer can end no change but its own, so the copies stay valid. */
	for (i = ops; i; i = i->next)
		check_op_timeout(ctx, i->data);
	g_list_free(ops);
}

/*
 * Takes over the operation; changes are worked on one at a time. A full queue
 * refuses it at once.
 */
static void enqueue(struct part_ctx *ctx, struct config_op *op)
{
	struct config_sync *s = ctx->parts.config;

	if (g_queue_get_length(&s->ops) >= OPS_MAX) {
		op->fn(ctx, op->ref, CS_ERR_FULL, document_revision(s->doc),
		       "too many changes wait\n");
		op_free(op);
		return;
	}
	set_state(ctx, op, OP_WAITING);
	g_queue_push_tail(&s->ops, op);
	start_next_op(ctx);
}

void config_sync_change(struct part_ctx *ctx, uint64_t ref,
			const struct change *changes, size_t nr,
			uint64_t expected, bool is_dry_run,
			config_changed_fn fn)
{
	struct config_op *op = g_new0(struct config_op, 1);

	op->ref = ref;
	op->fn = fn;
	op->changes = g_memdup2(changes, nr * sizeof(*changes));
	op->changes_nr = nr;
	op->expected = expected;
	op->is_dry_run = is_dry_run;
	enqueue(ctx, op);
}

void config_sync_replace(struct part_ctx *ctx, uint64_t ref,
			 const struct document *doc, uint64_t expected,
			 bool is_dry_run, config_changed_fn fn)
{
	struct config_op *op = g_new0(struct config_op, 1);

	op->ref = ref;
	op->fn = fn;
	op->replacement = document_copy(doc);
	op->expected = expected;
	op->is_dry_run = is_dry_run;
	enqueue(ctx, op);
}
