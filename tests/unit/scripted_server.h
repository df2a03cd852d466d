#ifndef SCRIPTED_SERVER_H
#define SCRIPTED_SERVER_H

#include "../../src/entry/bus.h"

/*
 * A TCP server on a loopback port that serves each connection with a function
 * of the test, in a thread of its own and with blocking calls.
 */
struct scripted;

/* Serves one connection, which is closed when this returns. */
typedef void (*script_fn)(struct scripted *server, int fd);

struct scripted *scripted_start(script_fn script);
/* Ends all connections and waits for their threads. */
void scripted_stop(struct scripted *server);

const char *scripted_address(const struct scripted *server);
int scripted_connections(struct scripted *server);
int scripted_requests(struct scripted *server);

/* Reads one request as text; NULL at the end. Released with g_free(). */
char *scripted_read(struct scripted *server, int fd);
/* True if the client closes the connection within 2 s. */
bool scripted_is_closed_by_client(int fd);
void scripted_write(int fd, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Sends an answer with a Content-Length. */
void scripted_answer(int fd, int status, const char *body);
/* Closes with RST instead of FIN when the script returns. */
void scripted_reset(int fd);

#endif
