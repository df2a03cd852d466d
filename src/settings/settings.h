#ifndef SETTINGS_H
#define SETTINGS_H

#include <glib.h>

#include "../base/log.h"
#include "../camphorshed.h"

/* The checked contents of the settings file of an entry. */
struct settings {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char front_address[CS_ADDRESS_MAX];
	char admin_address[CS_ADDRESS_MAX];
	char peer_address[CS_ADDRESS_MAX];
	char platform_address[CS_ADDRESS_MAX];
	char admin_token[CS_NAME_MAX];
	uint8_t peer_secret_digest[CS_DIGEST_LEN]; /* digest of the entries'
						      secret */
	enum isolated_mode isolated;
	enum log_level log_level;
	int queue_depth;
	int connections_max; /* of callers */
	int worker_connections_max; /* to each worker */
	int64_t body_max; /* bytes */
	int64_t memory; /* bytes, of the machine */
	int64_t buffer_max; /* bytes that callers fill; 0: a share of memory */
	int64_t head_timeout_ms; /* longest time for the head of a request */
	int64_t body_timeout_ms; /* longest time for its body */
	int64_t platform_timeout_ms;
	int64_t connect_timeout_ms;
	int64_t drain_ms; /* longest wait for requests in progress */
	struct entry_peer *peers;
	size_t peers_nr;
};

/*
 * Reads and checks a settings file. If there are faults, appends one line
 * "FILE:LINE: key: got ..., expected ..." for each and returns NULL.
 */
struct settings *settings_read(const char *path, GString *faults);
void settings_destroy(struct settings *settings);

#endif
