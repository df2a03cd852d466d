"""Sends requests in two parts, split at every byte.

Usage: split_request.py PORT PATH. Fails if an answer differs from the one to
the whole request. libevhtp's parser adds a byte to a path that arrives in two
parts.
"""
import socket
import sys
import time

PORT, PATH = int(sys.argv[1]), sys.argv[2]
REQUEST = (f"GET {PATH} HTTP/1.1\r\nHost: desk.example\r\n"
           "Authorization: Bearer errata-key\r\n\r\n").encode()


def send(parts):
    with socket.create_connection(("127.0.0.1", PORT), 5) as s:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in parts:
            s.sendall(part)
            time.sleep(0.003)
        return s.recv(65536).split(b"\r\n")[0]


def check(request):
    """Returns whether every split of the request gets the same answer."""
    expected = send([request])
    bad = [i for i in range(1, len(request))
           if send([request[:i], request[i:]]) != expected]
    print(expected.decode(), "other answer if split at", bad)
    return not bad


# The body looks like the start of a request. The entry must not wait for more.
POST = (f"POST {PATH} HTTP/1.1\r\nHost: desk.example\r\n"
        "Authorization: Bearer errata-key\r\nContent-Length: 8\r\n"
        "\r\nGET POST").encode()
sys.exit(0 if all([check(REQUEST), check(POST)]) else 1)
