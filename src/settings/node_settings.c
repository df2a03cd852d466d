#include "node_settings.h"

#include "settings_file.h"

#define FIELD(name) offsetof(struct node_settings, name)

#define NAME(name, offset)                                                     \
	{                                                                      \
		name, &settings_name, offset, 1, CS_NAME_MAX - 1,              \
			"characters", NULL                                     \
	}
#define ADDRESS(name, offset, default_value)                                   \
	{                                                                      \
		name, &settings_address, offset, 0, 0, "", default_value       \
	}
/* A limit of the platform; the default is its usual value. */
#define BOUND(name, offset, max, default_value)                                \
	{                                                                      \
		name, &settings_duration, offset, 0, max, "ms", default_value  \
	}

/* Bounds of the machine's memory, in bytes. */
#define MEMORY_MIN (INT64_C(16) << 20)
#define MEMORY_MAX (INT64_C(1) << 40)

static const struct settings_key node_keys[] = {
	NAME("name", FIELD(name)),
	NAME("data_centre", FIELD(data_centre)),
	{ "log_level", &settings_log_level, FIELD(log_level), 0, 0, "",
	  "info" },
	/* The default allows five lines per task at 400 tasks per second. */
	{ "log_lines_max", &settings_count, FIELD(log_lines_max), 10, 100000,
	  "lines a second", "2000" },
	/* The default is the share of an entry on a usual small host. */
	{ "cpu_share", &settings_thousandths, FIELD(cpu_share), 1, 1024000,
	  "cores", "0.25" },
	/* The default is the memory of the smallest usual host. */
	{ "memory", &settings_size, FIELD(memory), MEMORY_MIN, MEMORY_MAX,
	  "bytes", "160m" },
	{ "accepted_max", &settings_size, FIELD(accepted_max), 0, MEMORY_MAX,
	  "bytes", "0" },
	/* The platform kills a process 6 s after asking it to stop. */
	{ "drain", &settings_duration, FIELD(drain_ms), 100, 60000, "ms",
	  "4s" },
};

static const struct settings_key front_keys[] = {
	ADDRESS("listen", FIELD(front_address), NULL),
	ADDRESS("readiness", FIELD(readiness_address), NULL),
	ADDRESS("metrics", FIELD(metrics_address), ""),
	/* A process may have about 4,000 file descriptors in total. */
	{ "connections_max", &settings_count, FIELD(connections_max), 1, 65536,
	  "connections", "3000" },
	{ "body_max", &settings_size, FIELD(body_max), 1024,
	  INT64_C(1024) * 1024, "bytes", "256k" },
	/* Many times what a caller on a slow link needs. */
	{ "head_timeout", &settings_duration, FIELD(head_timeout_ms), 1000,
	  600000, "ms", "10s" },
	{ "body_timeout", &settings_duration, FIELD(body_timeout_ms), 1000,
	  600000, "ms", "30s" },
	{ "buffer_max", &settings_size, FIELD(buffer_max), 0, MEMORY_MAX,
	  "bytes", "0" },
};

static const struct settings_key store_keys[] = {
	ADDRESS("address", FIELD(store_address), NULL),
	BOUND("lease_min", FIELD(lease_min_ms), 600000, "1s"),
};

static const struct settings_key hosts_keys[] = {
	ADDRESS("address", FIELD(hosts_address), ""),
	/* By default what the platform accepts from all entries together. */
	{ "calls_per_s", &settings_thousandths, FIELD(host_calls_per_1000s), 1,
	  1000000000, "calls a second", "60" },
};

static const struct settings_key advisor_keys[] = {
	ADDRESS("address", FIELD(advisor_address), ""),
};

static const struct settings_key relay_keys[] = {
	ADDRESS("listen", FIELD(relay_address), ""),
	/* The host of an owner calls this many by itself at little cost. */
	{ "direct_max", &settings_count, FIELD(relay_direct_max), 0, 1000000,
	  "servers", "64" },
};

static const struct settings_key bound_keys[] = {
	BOUND("holder_pause", FIELD(holder_pause_ms), 600000, "3s"),
	BOUND("server_lease_max", FIELD(server_lease_max_ms), 600000, "10s"),
	BOUND("withdrawn_key", FIELD(withdrawn_key_ms), 600000, "0s"),
};

#define SWITCH(name, field, default_value)                                     \
	{                                                                      \
		name, &settings_switch, FIELD(policy.field), 0, 0, "",         \
			default_value                                          \
	}

static const struct settings_key policy_keys[] = {
	SWITCH("fair_shares", has_fair_shares, "off"),
	SWITCH("admission", has_admission, "off"),
	SWITCH("preemption", has_preemption, "off"),
	SWITCH("server_scores", has_server_scores, "off"),
	SWITCH("demand_forecast", has_demand_forecast, "off"),
	SWITCH("learned_run_times", has_learned_run_times, "off"),
};

#define SECTION(name, keys)                                                    \
	{                                                                      \
		name, keys, G_N_ELEMENTS(keys), false                          \
	}

static const struct settings_section sections[] = {
	SECTION("node", node_keys),	  SECTION("front", front_keys),
	SECTION("store", store_keys),	  SECTION("hosts", hosts_keys),
	SECTION("advisor", advisor_keys), SECTION("relay", relay_keys),
	SECTION("bounds", bound_keys),	  SECTION("policy", policy_keys),
};

static const struct settings_schema schema = {
	sections,
	G_N_ELEMENTS(sections),
	"[node], [front], [store], [hosts], [advisor], [relay], [bounds], "
	"[policy]",
	false,
	NULL,
};

struct node_settings *node_settings_read(const char *path, GString *faults)
{
	struct node_settings *st = g_new0(struct node_settings, 1);

	if (settings_file_read(path, &schema, st, NULL, faults))
		return st;
	node_settings_destroy(st);
	return NULL;
}

void node_settings_destroy(struct node_settings *settings)
{
	g_free(settings);
}
