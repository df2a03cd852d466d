#include "socket.h"

#include <sys/socket.h>

void socket_reset(int fd)
{
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
	const struct sockaddr none = { .sa_family = AF_UNSPEC };

	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	(void)!connect(fd, &none, sizeof(none));
}
