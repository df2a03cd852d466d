#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The platform's key-value service, kept in memory. A row's version is the
 * revision of its last write, so versions don't repeat, even after a deletion.
 */

enum outage { OUTAGE_OFF, OUTAGE_HANG, OUTAGE_REFUSE, OUTAGE_503 };

static const char *const outage_names[] = { "off", "hang", "refuse", "503" };

struct row {
	uint64_t version; /* 0: deleted */
	uint64_t revision; /* of the last change */
	json_t *value;
	uint64_t lease; /* 0: none */
};

struct lease {
	struct service *service;
	uint64_t id;
	int64_t ttl_ms;
	struct event *timer;
};

struct watch {
	struct service *service;
	struct deferred *deferred;
	char *prefix;
	uint64_t since;
};

struct host {
	char *address, *data_centre, *state;
};

struct service {
	struct event_base *base;
	struct server *server;
	struct server *control;
	GTree *rows; /* key -> struct row, in order of keys */
	GHashTable *leases; /* &lease->id -> struct lease */
	GTree *hosts; /* name -> struct host */
	GQueue watches, hung;
	uint64_t revision;
	uint64_t last_lease;
	enum outage outage;
	int64_t latency_ms;
	int64_t lost_answers_left; /* writes still to go unanswered */
	int64_t reads, writes;
};

static void row_free(gpointer p)
{
	struct row *row = p;

	json_decref(row->value);
	g_free(row);
}

static void lease_free(gpointer p)
{
	struct lease *lease = p;

	event_free(lease->timer);
	g_free(lease);
}

static void host_free(gpointer p)
{
	struct host *host = p;

	g_free(host->address);
	g_free(host->data_centre);
	g_free(host->state);
	g_free(host);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

struct scan {
	const char *prefix;
	uint64_t since;
	bool with_deleted;
	json_t *out;
};

static gboolean scan_row(gpointer key, gpointer value, gpointer data)
{
	const struct row *row = value;
	struct scan *scan = data;

	if (g_str_has_prefix(key, scan->prefix) &&
	    row->revision > scan->since && (row->version || scan->with_deleted))
		json_array_append_new(scan->out,
				      json_pack("{s:s, s:I, s:O}", "key", key,
						"version",
						(json_int_t)row->version,
						"value", row->value));
	return FALSE;
}

static json_t *scan_rows(struct service *s, const char *prefix, uint64_t since,
			 bool with_deleted)
{
	struct scan scan = { prefix, since, with_deleted, json_array() };

	g_tree_foreach(s->rows, scan_row, &scan);
	return scan.out;
}

/* Answers a watch with its changes. req is NULL if the caller left. */
static void end_watch(void *ctx, struct evhttp_request *req)
{
	struct watch *w = ctx;
	struct service *s = w->service;

	g_queue_remove(&s->watches, w);
	if (req)
		reply_json(req, 200,
			   json_pack("{s:I, s:o}", "revision",
				     (json_int_t)s->revision, "changes",
				     scan_rows(s, w->prefix, w->since, true)));
	g_free(w->prefix);
	g_free(w);
}

/* Sets a row, or deletes it if value is NULL, and ends the watches on it. */
static struct row *set_row(struct service *s, const char *key, json_t *value,
			   uint64_t lease)
{
	struct row *row = g_tree_lookup(s->rows, key);
	struct watch *w;
	GList *l, *next;

	if (!row) {
		row = g_new0(struct row, 1);
		g_tree_insert(s->rows, g_strdup(key), row);
	}
	json_decref(row->value);
	row->revision = ++s->revision;
	row->version = value ? row->revision : 0;
	row->value = value ? value : json_null();
	row->lease = lease;
	for (l = s->watches.head; l; l = next) {
		next = l->next;
		w = l->data;
		if (g_str_has_prefix(key, w->prefix))
			server_resume(w->deferred);
	}
	return row;
}

struct leased_keys {
	uint64_t lease;
	GPtrArray *keys;
};

static gboolean collect_leased(gpointer key, gpointer value, gpointer data)
{
	struct leased_keys *found = data;

	if (((struct row *)value)->lease == found->lease)
		g_ptr_array_add(found->keys, key);
	return FALSE;
}

static void on_lease_end(evutil_socket_t fd, short what, void *arg)
{
	struct lease *lease = arg;
	struct service *s = lease->service;
	struct leased_keys found = { lease->id, g_ptr_array_new() };
	guint i;

	(void)fd;
	(void)what;
	g_tree_foreach(s->rows, collect_leased, &found);
	for (i = 0; i < found.keys->len; i++)
		set_row(s, g_ptr_array_index(found.keys, i), NULL, 0);
	g_ptr_array_free(found.keys, TRUE);
	g_hash_table_remove(s->leases, &lease->id);
}

static void lease_restart(struct lease *lease)
{
	struct timeval tv = { lease->ttl_ms / 1000,
			      lease->ttl_ms % 1000 * 1000 };

	event_add(lease->timer, &tv);
}

static json_t *error_json(const char *reason)
{
	return json_pack("{s:s}", "error", reason);
}

/* Answers a write, or closes the connection if the answer is to be lost. */
static void reply_write(struct service *s, struct evhttp_request *req,
			int status, json_t *root)
{
	if (s->lost_answers_left > 0) {
		s->lost_answers_left--;
		json_decref(root);
		server_drop_connection(s->server, req);
		return;
	}
	reply_json(req, status, root);
}

static void get_key(struct service *s, struct evhttp_request *req,
		    const char *key)
{
	const struct row *row = g_tree_lookup(s->rows, key);

	s->reads++;
	if (!row || !row->version)
		reply_json(req, 404, error_json("missing"));
	else
		reply_json(req, 200,
			   json_pack("{s:s, s:I, s:O}", "key", key, "version",
				     (json_int_t)row->version, "value",
				     row->value));
}

/* True if the version matches; if not, answers 409 with the current row. */
static bool check_version(struct service *s, struct evhttp_request *req,
			  const char *key)
{
	const struct row *row = g_tree_lookup(s->rows, key);
	uint64_t current_version = row ? row->version : 0;

	if (current_version == (uint64_t)query_number(req, "version", -1))
		return true;
	reply_write(s, req, 409,
		    json_pack("{s:I, s:o}", "version",
			      (json_int_t)current_version, "value",
			      row ? json_incref(row->value) : json_null()));
	return false;
}

static void put_key(struct service *s, struct evhttp_request *req,
		    const char *key)
{
	uint64_t lease = (uint64_t)query_number(req, "lease", 0);
	size_t len;
	char *body = request_body(req, &len);
	json_t *root = json_loadb(body, len, JSON_ALLOW_NUL, NULL);
	json_t *value = json_object_get(root, "value");

	s->writes++;
	if (!json_is_string(value))
		reply_json(req, 400, error_json("malformed"));
	else if (json_string_length(value) > (size_t)CS_VALUE_MAX)
		reply_json(req, 413, error_json("too_large"));
	else if (lease && !g_hash_table_contains(s->leases, &lease))
		reply_json(req, 404, error_json("lease"));
	else if (check_version(s, req, key))
		reply_write(s, req, 200,
			    json_pack("{s:I}", "version",
				      (json_int_t)set_row(
					      s, key, json_incref(value), lease)
					      ->version));
	json_decref(root);
	g_free(body);
}

static void delete_key(struct service *s, struct evhttp_request *req,
		       const char *key)
{
	const struct row *row = g_tree_lookup(s->rows, key);

	s->writes++;
	if (!row || !row->version) {
		reply_write(s, req, 404, error_json("missing"));
	} else if (check_version(s, req, key)) {
		set_row(s, key, NULL, 0);
		reply_write(s, req, 200, json_object());
	}
}

static void on_kv(struct service *s, struct evhttp_request *req,
		  const char *key)
{
	switch (evhttp_request_get_command(req)) {
	case EVHTTP_REQ_GET:
		get_key(s, req, key);
		break;
	case EVHTTP_REQ_PUT:
		put_key(s, req, key);
		break;
	case EVHTTP_REQ_DELETE:
		delete_key(s, req, key);
		break;
	default:
		reply_json(req, 405, error_json("method"));
	}
}

static void on_list(struct service *s, struct evhttp_request *req,
		    const char *rest)
{
	char *prefix = query_string(req, "prefix");

	(void)rest;
	s->reads++;
	reply_json(req, 200,
		   json_pack("{s:I, s:o}", "revision", (json_int_t)s->revision,
			     "rows",
			     scan_rows(s, prefix ? prefix : "", 0, false)));
	g_free(prefix);
}

static void on_watch(struct service *s, struct evhttp_request *req,
		     const char *rest)
{
	struct watch *w = g_new0(struct watch, 1);
	json_t *changes;
	bool has_changes;

	(void)rest;
	s->reads++;
	w->service = s;
	w->prefix = query_string(req, "prefix");
	if (!w->prefix)
		w->prefix = g_strdup("");
	w->since = (uint64_t)query_number(req, "since", 0);
	changes = scan_rows(s, w->prefix, w->since, true);
	has_changes = json_array_size(changes) > 0;
	json_decref(changes);
	if (has_changes) {
		end_watch(w, req);
		return;
	}
	g_queue_push_tail(&s->watches, w);
	w->deferred = server_defer(
		s->server, req, query_number(req, "wait_ms", 0), end_watch, w);
}

static void grant_lease(struct service *s, struct evhttp_request *req)
{
	size_t len;
	char *body = request_body(req, &len);
	json_t *root = json_loadb(body, len, 0, NULL);
	json_int_t ttl = json_integer_value(json_object_get(root, "ttl_ms"));
	struct lease *lease;

	s->writes++;
	json_decref(root);
	g_free(body);
	if (ttl <= 0) {
		reply_json(req, 400, error_json("malformed"));
		return;
	}
	lease = g_new0(struct lease, 1);
	lease->service = s;
	lease->id = ++s->last_lease;
	lease->ttl_ms = ttl;
	lease->timer = evtimer_new(s->base, on_lease_end, lease);
	g_hash_table_insert(s->leases, &lease->id, lease);
	lease_restart(lease);
	reply_write(s, req, 200,
		    json_pack("{s:I}", "lease", (json_int_t)lease->id));
}

static void on_leases(struct service *s, struct evhttp_request *req,
		      const char *rest)
{
	uint64_t id = g_ascii_strtoull(rest + (*rest == '/'), NULL, 10);
	struct lease *lease = g_hash_table_lookup(s->leases, &id);

	if (!*rest) {
		grant_lease(s, req);
		return;
	}
	s->writes++;
	if (!lease) {
		reply_write(s, req, 404, error_json("missing"));
		return;
	}
	lease_restart(lease);
	reply_write(s, req, 200, json_pack("{s:I}", "lease", (json_int_t)id));
}

static gboolean append_host(gpointer name, gpointer value, gpointer data)
{
	const struct host *host = value;

	json_array_append_new(
		data, json_pack("{s:s, s:s, s:s, s:s}", "host", name, "address",
				host->address, "state", host->state,
				"data_centre", host->data_centre));
	return FALSE;
}

static void on_hosts(struct service *s, struct evhttp_request *req,
		     const char *rest)
{
	json_t *array = json_array();

	(void)rest;
	s->reads++;
	g_tree_foreach(s->hosts, append_host, array);
	reply_json(req, 200, json_pack("{s:o}", "hosts", array));
}

static void set_host(struct service *s, const char *name, const char *address,
		     const char *data_centre, const char *state)
{
	const struct host *old = g_tree_lookup(s->hosts, name);
	struct host *host;

	if (!strcmp(state, "gone")) {
		g_tree_remove(s->hosts, name);
		return;
	}
	host = g_new0(struct host, 1);
	host->address = g_strdup(address ? address : old ? old->address : "");
	host->data_centre = g_strdup(data_centre ? data_centre :
				     old	 ? old->data_centre :
						   "");
	host->state = g_strdup(state);
	g_tree_insert(s->hosts, g_strdup(name), host);
}

/*
 * "refuse" closes the listener, so it is only accepted if control calls have an
 * address of their own.
 */
static void control_outage(struct service *s, struct evhttp_request *req)
{
	char *mode = query_string(req, "mode");
	struct deferred *d;
	size_t i = 0;

	while (mode && i < G_N_ELEMENTS(outage_names) &&
	       strcmp(mode, outage_names[i]))
		i++;
	g_free(mode);
	if (!mode || i == G_N_ELEMENTS(outage_names) ||
	    (i == OUTAGE_REFUSE && s->control == s->server)) {
		reply_json(req, 400, error_json("mode"));
		return;
	}
	s->outage = (enum outage)i;
	server_set_listening(s->server, s->outage != OUTAGE_REFUSE);
	while ((d = g_queue_pop_head(&s->hung)))
		server_resume(d);
	reply_json(req, 200, json_object());
}

static void control_host(struct service *s, struct evhttp_request *req)
{
	char *host = query_string(req, "host");
	char *state = query_string(req, "state");
	char *address = query_string(req, "address");
	char *data_centre = query_string(req, "data_centre");

	if (host && state) {
		set_host(s, host, address, data_centre, state);
		reply_json(req, 200, json_object());
	} else {
		reply_json(req, 400, error_json("host and state"));
	}
	g_free(host);
	g_free(state);
	g_free(address);
	g_free(data_centre);
}

static void on_control(struct service *s, struct evhttp_request *req,
		       const char *rest)
{
	if (!strcmp(rest, "outage")) {
		control_outage(s, req);
	} else if (!strcmp(rest, "host")) {
		control_host(s, req);
	} else if (!strcmp(rest, "latency")) {
		s->latency_ms = query_number(req, "ms", 0);
		reply_json(req, 200, json_object());
	} else if (!strcmp(rest, "lose")) {
		s->lost_answers_left = query_number(req, "writes", 1);
		reply_json(req, 200, json_object());
	} else if (!strcmp(rest, "stats")) {
		reply_json(req, 200,
			   json_pack("{s:I, s:I, s:I, s:I}", "reads",
				     (json_int_t)s->reads, "writes",
				     (json_int_t)s->writes, "watches",
				     (json_int_t)s->watches.length, "revision",
				     (json_int_t)s->revision));
	} else {
		reply_json(req, 404, error_json("path"));
	}
}

static const struct route {
	const char *prefix;
	void (*handle)(struct service *s, struct evhttp_request *req,
		       const char *rest);
} routes[] = {
	{ "/kv/", on_kv },	{ "/list", on_list },
	{ "/watch", on_watch }, { "/leases", on_leases },
	{ "/hosts", on_hosts }, { "/control/", on_control },
};

static void dispatch(void *ctx, struct evhttp_request *req)
{
	struct service *s = ctx;
	char *path;
	size_t i;

	if (!req)
		return; /* the caller left during the delay */
	path = request_path(req);
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (g_str_has_prefix(path, routes[i].prefix)) {
			routes[i].handle(s, req,
					 path + strlen(routes[i].prefix));
			break;
		}
	}
	if (i == G_N_ELEMENTS(routes))
		reply_json(req, 404, error_json("path"));
	g_free(path);
}

struct hung_request {
	struct service *service;
	struct deferred *deferred;
};

/* Drops a request that hung during an outage, so that it is never answered. */
static void drop_hung(void *ctx, struct evhttp_request *req)
{
	struct hung_request *h = ctx;

	g_queue_remove(&h->service->hung, h->deferred);
	if (req)
		server_drop_connection(h->service->server, req);
	g_free(h);
}

static void on_request(void *ctx, struct evhttp_request *req)
{
	struct service *s = ctx;
	const char *uri = evhttp_request_get_uri(req);
	struct hung_request *h;

	if (g_str_has_prefix(uri, "/control/")) {
		dispatch(s, req);
		return;
	}
	switch (s->outage) {
	case OUTAGE_HANG:
		h = g_new0(struct hung_request, 1);
		h->service = s;
		h->deferred = server_defer(s->server, req, -1, drop_hung, h);
		g_queue_push_tail(&s->hung, h->deferred);
		return;
	case OUTAGE_REFUSE:
		server_drop_connection(s->server, req);
		return;
	case OUTAGE_503:
		reply_json(req, 503, error_json("outage"));
		return;
	default:
		break;
	}
	if (s->latency_ms > 0)
		server_defer(s->server, req, s->latency_ms, dispatch, s);
	else
		dispatch(s, req);
}

/* The control address only serves control calls. */
static void on_control_request(void *ctx, struct evhttp_request *req)
{
	if (g_str_has_prefix(evhttp_request_get_uri(req), "/control/"))
		dispatch(ctx, req);
	else
		reply_json(req, 404, error_json("path"));
}

/* Reads a file of lines "HOST ADDRESS DATA_CENTRE [STATE]". */
static bool read_hosts(struct service *s, const char *path)
{
	char *text, **lines, **words;
	GError *error = NULL;
	size_t i;
	guint n;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "camphorshed-standin: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i]; i++) {
		words = g_strsplit(g_strstrip(lines[i]), " ", -1);
		n = g_strv_length(words);
		if (n >= 3 && *words[0] != '#')
			set_host(s, words[0], words[1], words[2],
				 n > 3 ? words[3] : "live");
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(text);
	return true;
}

int platform_main(int argc, char **argv)
{
	char *listen = NULL, *control = NULL, *hosts = NULL;
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "address",
		  "ADDR" },
		{ "control", 0, 0, G_OPTION_ARG_STRING, &control,
		  "address that stays open for control during outages",
		  "ADDR" },
		{ "hosts", 0, 0, G_OPTION_ARG_FILENAME, &hosts,
		  "lines HOST ADDRESS DATA_CENTRE [STATE]", "FILE" },
		{ NULL },
	};
	struct service s = { 0 };
	bool is_started;

	if (!parse_options(&argc, &argv, entries) || !listen)
		return 2;
	s.rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
	s.hosts = g_tree_new_full(compare_keys, NULL, g_free, host_free);
	s.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 lease_free);
	if (hosts && !read_hosts(&s, hosts))
		return 2;
	s.base = base_create();
	s.server = server_create(s.base, listen, on_request, &s);
	s.control = control ? server_create(s.base, control, on_control_request,
					    &s) :
			      s.server;
	is_started = s.server && s.control;
	if (is_started)
		server_run(s.base);
	if (s.control != s.server)
		server_destroy(s.control);
	server_destroy(s.server);
	g_hash_table_destroy(s.leases);
	g_tree_destroy(s.hosts);
	g_tree_destroy(s.rows);
	event_base_free(s.base);
	g_free(listen);
	g_free(control);
	g_free(hosts);
	return is_started ? 0 : 1;
}
