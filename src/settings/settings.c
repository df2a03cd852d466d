#include "settings.h"

#include <sodium.h>
#include <string.h>

#include "settings_file.h"

#define FIELD(name) offsetof(struct settings, name)
#define PEER_FIELD(name) offsetof(struct entry_peer, name)

/* The length limit is that of names in the fleet document. */
#define NAME(name, offset)                                                     \
	{                                                                      \
		name, &settings_name, offset, 1, CS_NAME_MAX - 1,              \
			"characters", NULL                                     \
	}
#define ADDRESS(name, offset)                                                  \
	{                                                                      \
		name, &settings_address, offset, 0, 0, "", NULL                \
	}

/* Bounds of the machine's memory, in bytes. */
#define MEMORY_MIN (INT64_C(16) << 20)
#define MEMORY_MAX (INT64_C(1) << 40)

static const struct settings_key entry_keys[] = {
	NAME("id", FIELD(id)),
	NAME("data_centre", FIELD(data_centre)),
	{ "log_level", &settings_log_level, FIELD(log_level), 0, 0, "",
	  "info" },
	{ "isolated", &settings_isolated, FIELD(isolated), 0, 0, "", "serve" },
	/* The core's mailbox holds 8192 messages; no pool needs more. */
	{ "queue_depth", &settings_count, FIELD(queue_depth), 1, 8192,
	  "requests", "1024" },
	/* The default is what control may take on a node. */
	{ "memory", &settings_size, FIELD(memory), MEMORY_MIN, MEMORY_MAX,
	  "bytes", "256m" },
	/* The default deadline of short work is 30 s. */
	{ "drain", &settings_duration, FIELD(drain_ms), 100, 600000, "ms",
	  "30s" },
};

static const struct settings_key front_keys[] = {
	ADDRESS("listen", FIELD(front_address)),
	{ "connections_max", &settings_count, FIELD(connections_max), 1, 65536,
	  "connections", "4096" },
	/*
	 * A forwarded request must fit into a peer frame of 2 MB. The body of
	 * long work, in base64, must fit into a platform value of 1 MB.
	 */
	{ "body_max", &settings_size, FIELD(body_max), 1024,
	  INT64_C(1024) * 1024, "bytes", "512k" },
	/* Many times what a caller on a slow link needs. */
	{ "head_timeout", &settings_duration, FIELD(head_timeout_ms), 1000,
	  600000, "ms", "10s" },
	{ "body_timeout", &settings_duration, FIELD(body_timeout_ms), 1000,
	  600000, "ms", "30s" },
	{ "buffer_max", &settings_size, FIELD(buffer_max), 0, MEMORY_MAX,
	  "bytes", "0" },
};

/* 16 characters of hexadecimal are 64 bits; fewer could be guessed. */
static const struct settings_key admin_keys[] = {
	ADDRESS("listen", FIELD(admin_address)),
	{ "token", &settings_token, FIELD(admin_token), 16, CS_NAME_MAX - 1,
	  "characters", "" },
};

static const struct settings_key peer_section_keys[] = {
	ADDRESS("listen", FIELD(peer_address)),
	{ "secret", &settings_secret, FIELD(peer_secret_digest), 16, 128,
	  "characters", NULL },
};

static const struct settings_key platform_keys[] = {
	ADDRESS("address", FIELD(platform_address)),
	/* A call takes milliseconds; the default allows for a slow service. */
	{ "timeout", &settings_duration, FIELD(platform_timeout_ms), 50, 30000,
	  "ms", "2s" },
};

static const struct settings_key worker_keys[] = {
	/* A worker accepts 64 connections, shared by six entries. */
	{ "connections_max", &settings_count, FIELD(worker_connections_max), 1,
	  64, "connections", "10" },
	{ "connect_timeout", &settings_duration, FIELD(connect_timeout_ms), 10,
	  10000, "ms", "500ms" },
};

static const struct settings_key named_peer_keys[] = {
	ADDRESS("address", PEER_FIELD(address)),
	NAME("data_centre", PEER_FIELD(data_centre)),
};

#define SECTION(name, keys, is_named_peer)                                     \
	{                                                                      \
		name, keys, G_N_ELEMENTS(keys), is_named_peer                  \
	}

static const struct settings_section entry_sections[] = {
	SECTION("entry", entry_keys, false),
	SECTION("front", front_keys, false),
	SECTION("admin", admin_keys, false),
	SECTION("peer", peer_section_keys, false),
	SECTION("platform", platform_keys, false),
	SECTION("worker", worker_keys, false),
	SECTION("peer NAME", named_peer_keys, true),
};

/* An address that an entry listens on, and the section that sets it. */
struct listener {
	const char *address;
	const char *section;
	int line;
};

/* State of check_addresses(). */
struct address_check {
	struct settings_reader *reader;
	const struct settings *settings;
	GArray *listeners; /* struct listener */
};

/* Collects listeners, and reports an entry that lists itself as a peer. */
static void collect_listener(void *ctx, const struct settings_section *def,
			     const char *name, int line, const void *fields)
{
	struct address_check *c = ctx;
	const struct settings *st = c->settings;
	struct listener l = { .section = name, .line = line };
	char *message;

	if (def->is_named_peer) {
		const struct entry_peer *peer = fields;

		l.address = peer->address;
		if (*st->id && !strcmp(peer->id, st->id)) {
			message = g_strdup_printf("\"%s\", expected another "
						  "entry than entry.id",
						  st->id);
			settings_add_fault(c->reader, line, name, message);
			g_free(message);
		}
	} else if (def->keys == front_keys) {
		l.address = st->front_address;
	} else if (def->keys == admin_keys) {
		l.address = st->admin_address;
	} else if (def->keys == peer_section_keys) {
		l.address = st->peer_address;
	}
	if (l.address && *l.address)
		g_array_append_val(c->listeners, l);
}

/* Checks that no address is used by two listeners. */
static void check_addresses(struct settings_reader *r, void *fields)
{
	struct address_check c = { .reader = r, .settings = fields };
	char *message;
	guint i, j;

	c.listeners = g_array_new(FALSE, TRUE, sizeof(struct listener));
	settings_for_each_section(r, collect_listener, &c);
	for (i = 0; i < c.listeners->len; i++) {
		for (j = 0; j < i; j++) {
			const struct listener *a, *b;

			a = &g_array_index(c.listeners, struct listener, i);
			b = &g_array_index(c.listeners, struct listener, j);
			if (strcmp(a->address, b->address))
				continue;
			message = g_strdup_printf(
				"\"%s\", expected another address than [%s]",
				a->address, b->section);
			settings_add_fault(r, a->line, a->section, message);
			g_free(message);
		}
	}
	g_array_free(c.listeners, TRUE);
}

static const struct settings_schema entry_schema = {
	entry_sections,
	G_N_ELEMENTS(entry_sections),
	"[entry], [front], [admin], [peer], [platform], [worker], "
	"[peer NAME]",
	true,
	check_addresses,
};

struct settings *settings_read(const char *path, GString *faults)
{
	struct settings *st = g_new0(struct settings, 1);
	GArray *peers = g_array_new(FALSE, TRUE, sizeof(struct entry_peer));
	bool is_read =
		settings_file_read(path, &entry_schema, st, peers, faults);

	st->peers_nr = peers->len;
	st->peers = (struct entry_peer *)g_array_free(peers, FALSE);
	if (is_read)
		return st;
	settings_destroy(st);
	return NULL;
}

void settings_destroy(struct settings *settings)
{
	if (!settings)
		return;
	g_free(settings->peers);
	sodium_memzero(settings, sizeof(*settings));
	g_free(settings);
}
