"""Clients that send whole bodies of legal size, one after the other."""

import argparse
import socket
import threading
import time


def run(options, number, end):
    data = bytes(1_048_576)
    count = 0
    while time.monotonic() < end:
        count += 1
        try:
            with socket.create_connection((options.ip, 8147), timeout=10) as sock:
                head = (
                    f"POST {options.path} HTTP/1.1\r\nHost: {options.host}\r\n"
                    f"Request-Id: up{options.ip}x{number}x{count}\r\n"
                    f"Deadline-Milliseconds: 8000\r\nConnection: close\r\n"
                    f"Content-Length: {options.megabytes * len(data)}\r\n\r\n"
                )
                sock.sendall(head.encode())
                for _ in range(options.megabytes):
                    sock.sendall(data)
                while sock.recv(65536):
                    continue
        except OSError:
            time.sleep(0.05)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--clients", type=int, required=True)
    parser.add_argument("--megabytes", type=int, required=True)
    parser.add_argument("--for-s", type=float, required=True)
    options = parser.parse_args()
    end = time.monotonic() + options.for_s
    threads = [
        threading.Thread(target=run, args=(options, number, end))
        for number in range(options.clients)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


main()
