"""Clients that send chunked bodies in very small chunks and stop short of their end."""

import argparse
import selectors
import socket
import time


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--clients", type=int, required=True)
    parser.add_argument("--chunks", type=int, required=True)
    parser.add_argument("--size", type=int, default=1)
    parser.add_argument("--stay-s", type=float, required=True)
    options = parser.parse_args()
    chunk = b"%x\r\n%s\r\n" % (options.size, b"x" * options.size)
    # All clients send the same body.
    body = memoryview(chunk * options.chunks)
    selector = selectors.DefaultSelector()
    for number in range(options.clients):
        sock = socket.create_connection((options.ip, 8147), timeout=10)
        head = (
            f"POST /safe/crowd HTTP/1.1\r\nHost: {options.host}\r\n"
            f"Request-Id: crowd{number:05d}\r\nDeadline-Milliseconds: 4000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(head.encode())
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_WRITE, body)
    end = time.monotonic() + options.stay_s
    while time.monotonic() < end:
        for key, _ in selector.select(0.1):
            try:
                sent = key.fileobj.send(key.data)
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(key.fileobj)
                continue
            rest = key.data[sent:]
            if rest:
                selector.modify(key.fileobj, selectors.EVENT_WRITE, rest)
            else:
                # The last chunk never comes.
                selector.modify(key.fileobj, selectors.EVENT_READ, rest)
                selector.unregister(key.fileobj)
        if not selector.get_map():
            time.sleep(0.1)


main()
