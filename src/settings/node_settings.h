#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include "../base/log.h"
#include "../sched/sched.h"

/* The checked settings file of an entry on a shared platform. */
struct node_settings {
	char name[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char front_address[CS_ADDRESS_MAX];
	char readiness_address[CS_ADDRESS_MAX];
	char metrics_address[CS_ADDRESS_MAX]; /* "": none */
	char store_address[CS_ADDRESS_MAX];
	char hosts_address[CS_ADDRESS_MAX]; /* "": no host service */
	char advisor_address[CS_ADDRESS_MAX]; /* "": no advisor */
	char relay_address[CS_ADDRESS_MAX]; /* "": no carriers */
	int relay_direct_max; /* servers up to which none are needed */
	enum log_level log_level;
	int log_lines_max; /* per second */
	int host_calls_per_1000s; /* to the host service, per 1,000 s */
	int cpu_share; /* thousandths of a core */
	int connections_max; /* of callers */
	int64_t body_max; /* bytes */
	int64_t memory; /* bytes, of the machine */
	int64_t accepted_max; /* bytes of accepted jobs; 0: a share of memory */
	int64_t buffer_max; /* bytes that callers fill; 0: a share of memory */
	int64_t head_timeout_ms; /* longest time for the head of a request */
	int64_t body_timeout_ms; /* longest time for its body */
	int64_t drain_ms; /* longest wait for requests in progress */
	int64_t lease_min_ms; /* shortest lease that the store grants */
	int64_t holder_pause_ms; /* between two holders of host orders */
	int64_t server_lease_max_ms; /* a server shortens longer leases */
	int64_t withdrawn_key_ms; /* see struct node_options */
	struct sched_policy policy; /* decisions that are switched on */
};

/* Like settings_read(); the file holds no secrets. */
struct node_settings *node_settings_read(const char *path, GString *faults);
void node_settings_destroy(struct node_settings *settings);

#endif
