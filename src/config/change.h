#ifndef CONFIG_CHANGE_H
#define CONFIG_CHANGE_H

#include "../camphorshed.h"

/* Operations on the fleet document, with the fields that each one uses. */
enum change_op {
	CHANGE_TEAM_SET, /* name, share, limit */
	CHANGE_TEAM_REMOVE, /* name */
	CHANGE_KEY_GRANT, /* name (team), digest, label */
	CHANGE_KEY_WITHDRAW, /* name (team), digest or label */
	CHANGE_POOL_SET, /* name, is_spare, budget_percent */
	CHANGE_QUEUE_SET, /* name, pool, is_open, team */
	CHANGE_PRESET, /* name (preset) */
	CHANGE_DATA_CENTRE_OUT, /* name */
	CHANGE_DATA_CENTRE_IN, /* name */
	CHANGE_HOST_SET, /* name, rack, data_centre, pool */
	CHANGE_HOST_DRAIN, /* name */
	CHANGE_HOST_EMPTY, /* name; sent when nothing runs there */
	CHANGE_HOST_RETURN, /* name */
	CHANGE_HOST_MOVE, /* name, pool */
	CHANGE_WORKER_SET, /* name, host, address, slots */
	CHANGE_OP_NR
};

/* One operation. Fields that it does not use are ignored. */
struct change {
	enum change_op op;
	char name[CS_NAME_MAX];
	char pool[CS_NAME_MAX];
	char team[CS_NAME_MAX];
	char host[CS_NAME_MAX];
	char rack[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char label[CS_NAME_MAX];
	uint8_t digest[CS_DIGEST_LEN];
	bool has_digest;
	bool is_open;
	bool is_spare;
	int share; /* weight, 1 to 1000 */
	int limit; /* tasks running fleet-wide */
	int budget_percent; /* of a pool's hosts that may be down at once */
	int slots;
};

#endif
