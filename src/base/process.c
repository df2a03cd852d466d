#include "process.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "error.h"

int process_open_signal_fd(bool with_hangup, struct cs_error *err)
{
	sigset_t set;
	int fd;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (with_hangup)
		sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	fd = signalfd(-1, &set, SFD_CLOEXEC);
	if (fd < 0)
		cs_error_set(err, CS_ERR_IO, "open_signals", NULL,
			     "cannot create a signal descriptor");
	return fd;
}

int process_next_signal(int fd)
{
	struct signalfd_siginfo info;

	process_wait(fd, -1);
	if (read(fd, &info, sizeof(info)) != sizeof(info))
		return 0;
	return (int)info.ssi_signo;
}

bool process_wait(int fd, int64_t timeout_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	int n;

	do {
		n = poll(&p, 1, (int)timeout_ms);
	} while (n < 0 && errno == EINTR);
	return n > 0;
}
