#include "entry_run.h"

#include <poll.h>
#include <unistd.h>

#include "../admin/admin.h"
#include "../base/byte_budget.h"
#include "../base/error.h"
#include "../base/process.h"
#include "../base/task.h"
#include "../front/front.h"
#include "../peer/peer_link.h"
#include "../platform/platform_client.h"
#include "../worker/worker_client.h"
#include "core_task.h"

/*
 * Time for the front task to send the last answer to its caller before the
 * tasks are stopped.
 */
#define LINGER_MS 200

/* All tasks of one process, in the order in which they start. */
struct tasks {
	struct log *log;
	struct bus *bus;
	struct platform_client *platform;
	struct worker_client *worker;
	struct peer_link *peer;
	struct admin *admin;
	struct front *front;
	struct core_task *core;
	int signal_fd;
};

/*
 * Returns a number that is higher at every start. The wall clock provides one
 * without stored state.
 */
static uint64_t make_incarnation(void)
{
	return (uint64_t)g_get_real_time();
}

static void fill_options(const struct settings *s, uint64_t incarnation,
			 struct entry_options *o)
{
	cs_copy(o->id, sizeof(o->id), s->id);
	cs_copy(o->data_centre, sizeof(o->data_centre), s->data_centre);
	cs_copy(o->address, sizeof(o->address), s->peer_address);
	o->incarnation = incarnation;
	o->seed = g_random_int();
	o->isolated = s->isolated;
	o->queue_depth = s->queue_depth;
	o->peers = s->peers;
	o->peers_nr = s->peers_nr;
}

/*
 * Starts the tasks that open connections. After an error the caller stops the
 * tasks that were started.
 */
static int start_clients(struct tasks *t, const struct settings *s,
			 uint64_t incarnation, struct cs_error *err)
{
	struct platform_client_options po = { .timeout_ms =
						      s->platform_timeout_ms };
	struct worker_client_options wo = {
		.connections_max = s->worker_connections_max,
		.connect_timeout_ms = s->connect_timeout_ms
	};
	struct peer_link_options lo = { .incarnation = incarnation,
					.peers = s->peers,
					.peers_nr = s->peers_nr };

	cs_copy(po.address, sizeof(po.address), s->platform_address);
	t->platform = platform_client_create(&po, t->bus, err);
	if (!t->platform)
		return err->code;
	t->worker = worker_client_create(&wo, t->bus, err);
	if (!t->worker)
		return err->code;
	cs_copy(lo.id, sizeof(lo.id), s->id);
	cs_copy(lo.data_centre, sizeof(lo.data_centre), s->data_centre);
	cs_copy(lo.address, sizeof(lo.address), s->peer_address);
	memcpy(lo.secret, s->peer_secret_digest, sizeof(lo.secret));
	t->peer = peer_link_create(&lo, t->bus, err);
	return t->peer ? CS_OK : err->code;
}

/* Starts the HTTP servers. */
static int start_servers(struct tasks *t, const struct settings *s,
			 struct cs_error *err)
{
	struct front_options fo = {
		.body_max = (size_t)s->body_max,
		.connections_max = s->connections_max,
		.buffer_max = byte_budget_size((size_t)s->buffer_max,
					       (size_t)s->memory,
					       (size_t)s->body_max),
		.head_timeout_ms = s->head_timeout_ms,
		.body_timeout_ms = s->body_timeout_ms,
	};
	struct admin_options ao = { 0 };

	cs_copy(ao.address, sizeof(ao.address), s->admin_address);
	cs_copy(ao.token, sizeof(ao.token), s->admin_token);
	t->admin = admin_create(&ao, t->bus, err);
	if (!t->admin)
		return err->code;
	cs_copy(fo.address, sizeof(fo.address), s->front_address);
	t->front = front_create(&fo, t->bus, err);
	return t->front ? CS_OK : err->code;
}

/*
 * Starts the core last, after all tasks to which it sends messages. After an
 * error the caller stops the tasks that were started.
 */
static int start_tasks(struct tasks *t, const struct settings *s,
		       struct cs_error *err)
{
	uint64_t incarnation = make_incarnation();
	struct entry_options options = { 0 };
	int code;

	t->bus = bus_create(t->log, err);
	if (!t->bus)
		return err->code;
	code = start_clients(t, s, incarnation, err);
	if (!code)
		code = start_servers(t, s, err);
	if (code)
		return code;
	fill_options(s, incarnation, &options);
	t->core = core_task_create(&options, t->bus, err);
	return t->core ? CS_OK : err->code;
}

/*
 * Stops the tasks that accept requests first and destroys the bus last. All
 * these functions accept NULL, so this also works after a failed start.
 */
static void stop_tasks(struct tasks *t)
{
	front_destroy(t->front);
	admin_destroy(t->admin);
	core_task_destroy(t->core);
	peer_link_destroy(t->peer);
	worker_client_destroy(t->worker);
	platform_client_destroy(t->platform);
	bus_destroy(t->bus);
}

static void log_event(struct tasks *t, const struct settings *s,
		      const char *event)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", event);
	log_pair(pairs, "entry", s->id);
	log_pair(pairs, "data_centre", s->data_centre);
	log_pair(pairs, "version", CAMPHORSHED_VERSION);
	log_write(t->log, LOG_INFO, "main", "run", NULL, NULL, pairs->str);
	g_string_free(pairs, TRUE);
}

/*
 * Waits at most s->drain_ms for the core to finish running work, and then
 * LINGER_MS for the last replies to be sent.
 */
static void drain(struct tasks *t, const struct settings *s)
{
	log_event(t, s, "draining");
	bus_post(t->bus, BUS_ADMIN, msg_new(MSG_DRAIN));
	if (!process_wait(core_task_drained_fd(t->core), s->drain_ms))
		log_event(t, s, "drain_timeout");
	poll(NULL, 0, LINGER_MS);
}

int entry_run(const struct settings *s, struct cs_error *err)
{
	struct tasks t = { 0 };
	int code = CS_ERR_IO;

	t.signal_fd = process_open_signal_fd(false, err);
	if (t.signal_fd < 0)
		return code;
	t.log = log_create(s->log_level, err);
	if (!t.log)
		goto out;
	code = start_tasks(&t, s, err);
	if (code) {
		log_error(t.log, "main", err);
		goto out;
	}
	log_event(&t, s, "started");
	process_wait(t.signal_fd, -1);
	drain(&t, s);
	log_event(&t, s, "stopped");
out:
	stop_tasks(&t);
	log_destroy(t.log);
	close(t.signal_fd);
	return code;
}
