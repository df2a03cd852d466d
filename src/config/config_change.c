#include "config_state.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "codec.h"

/* Queued changes per entry; operators and the planner send only a few. */
#define OPS_MAX 256

/* How often a change is tried before concurrent writers count as a conflict. */
#define ATTEMPTS_MAX 5

/* Longest time that a change stays in any one state. */
#define OP_TIMEOUT (5 * CS_SEC)

enum op_state {
	OP_WAITING, /* queued behind other changes */
	OP_READING, /* reads the newest document */
	OP_WRITING, /* writes the next one by compare-and-swap */
	OP_VERIFYING, /* reads back a write whose reply was lost */
	OP_DONE
};

/* A request of an operator or a part: changes or a whole document. */
struct config_op {
	uint64_t ref;
	config_change_done_fn fn;
	struct change *changes;
	size_t changes_nr;
	struct document *replacement; /* NULL for a list of changes */
	uint64_t expected; /* current revision required; 0: any */
	bool is_dry_run;
	enum op_state state;
	cs_time since; /* when it entered state */
	uint64_t token; /* of the pending call, 0 if none */
	int attempts;
	/* the pending write */
	GBytes *bytes;
	uint64_t version; /* of the row to be replaced */
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

/* Starts the first queued change, unless one is in progress. */
static void start_next_op(struct part_ctx *ctx)
{
	struct config_op *op = g_queue_peek_head(&ctx->parts.config->ops);

	if (!op || op->state != OP_WAITING)
		return;
	set_state(ctx, op, OP_READING);
	op->token = config_read_document(ctx);
}

/* Reports the result of a change, frees it and starts the next one. */
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

/* Ends a change with a conflict and lists what other writers changed. */
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

/* Applies the changes to a copy of base and appends the faults. */
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

/* Returns the next document, not yet checked as a whole. */
static struct document *build_next(const struct document *base,
				   const struct config_op *op, GString *faults)
{
	if (!op->replacement)
		return apply_changes(base, op, faults);
	document_check_replace(base, op->replacement, faults);
	return document_copy(op->replacement);
}

/* Sends the pending write. Idempotent, since it is a compare-and-swap. */
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

/* Sets an id that is unique even if two entries use the same random seed. */
static void generate_change_id(struct part_ctx *ctx, struct config_op *op)
{
	g_snprintf(op->change_id, sizeof(op->change_id),
		   "%08x-%" PRIx64 "-%x-%08x", g_str_hash(ctx->options->id),
		   ctx->options->incarnation,
		   (unsigned)++ctx->parts.config->last_change_nr,
		   g_rand_int(ctx->rng));
}

/* Sets the revision and change id of next, encodes it and writes it. */
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
 * Applies the change to the document in force and writes the result. version
 * is that of the platform's row, which must not be newer than the document.
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

/* Applies the change on top of a row; an invalid row is never overwritten. */
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
 * Another writer was faster: applies the change again to the new document. This
 * ends in a conflict if the operator required a certain revision.
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

/* True if op wrote this row: the change id makes the document unique. */
static bool is_written_by(const struct config_op *op, const struct kv_row *row)
{
	return g_bytes_equal(row->value, op->bytes);
}

/* Handles the result of the read in state OP_READING. */
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

/* The outcome of a write is unknown: reads the row back to find out. */
static void verify_write(struct part_ctx *ctx, struct config_op *op)
{
	set_state(ctx, op, OP_VERIFYING);
	op->token = config_read_document(ctx);
}

/*
 * Handles the result of a write. A conflict with a row that this change wrote
 * means that an earlier attempt took effect.
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
 * Decides from the present row whether a write without a reply took effect.
 * Each revision has one writer, so the change id of the revision that this
 * change tried to write decides. If the row is of a later revision, that id is
 * looked up in the history.
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
		 * The first write may still arrive. Sending the same write
		 * again and awaiting its result ensures that one of them has
		 * been decided. If this row comes from a refused write, the
		 * next tick reads again.
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

/* Handles a result while the outcome of an earlier write is unknown. */
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

/* Handles a timeout of the state; repeats the read that verifies a write. */
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

	/* finish() frees only its own change, so the copy stays valid. */
	for (i = ops; i; i = i->next)
		check_op_timeout(ctx, i->data);
	g_list_free(ops);
}

/*
 * Queues a change, of which it takes ownership. If the queue is full, the
 * change is refused at once.
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
			config_change_done_fn fn)
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
			 bool is_dry_run, config_change_done_fn fn)
{
	struct config_op *op = g_new0(struct config_op, 1);

	op->ref = ref;
	op->fn = fn;
	op->replacement = document_copy(doc);
	op->expected = expected;
	op->is_dry_run = is_dry_run;
	enqueue(ctx, op);
}
