#ifndef BASE_SOCKET_H
#define BASE_SOCKET_H

/*
 * Resets a connection. Otherwise the kernel keeps unsent bytes during a network
 * partition and delivers them after it. shutdown() and close() keep these
 * bytes; connecting to AF_UNSPEC resets the connection at once. The descriptor
 * stays open. A negative one is ignored.
 */
void socket_reset(int fd);

#endif
