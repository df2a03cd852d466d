"""Sends one request in two parts, divided at every byte of its head.

Usage: split_request.py PORT PATH. Fails if an answer differs from the one to
the undivided request: libevhtp's parser adds a byte to a divided path.
"""
import socket
import sys
import time

PORT, PATH = int(sys.argv[1]), sys.argv[2]
REQUEST = (f"GET {PATH} HTTP/1.1\r\nHost: desk.example\r\n"
           "Authorization: Bearer errata-key\r\n\r\n").encode()


def ask(parts):
    with socket.create_connection(("127.0.0.1", PORT), 5) as s:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in parts:
            s.sendall(part)
            time.sleep(0.003)
        return s.recv(65536).split(b"\r\n")[0]


whole = ask([REQUEST])
bad = [i for i in range(1, len(REQUEST))
       if ask([REQUEST[:i], REQUEST[i:]]) != whole]
print(whole.decode(), "divided wrongly at", bad)
sys.exit(1 if bad else 0)
