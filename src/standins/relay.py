"""Stand-in for the network between failure domains: forwards TCP connections on loopback.

Stopping the process (SIGSTOP) simulates a network partition: connections stay open, but no data
passes.
"""

from __future__ import annotations

import argparse
import socket
import threading

CHUNK_BYTES = 65_536
LOOPBACK = "127.0.0.1"


def forward(source: socket.socket, target: socket.socket) -> None:
    """Copy bytes until either side closes, then shut down both."""
    try:
        while data := source.recv(CHUNK_BYTES):
            target.sendall(data)
    except OSError:
        pass
    for connection in (source, target):
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def serve(listener: socket.socket, target_port: int) -> None:
    """Accept connections and forward each of them to a port."""
    while True:
        inbound, _ = listener.accept()
        try:
            outbound = socket.create_connection((LOOPBACK, target_port))
        except OSError:
            inbound.close()
            continue
        for connection in (inbound, outbound):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, target in ((inbound, outbound), (outbound, inbound)):
            threading.Thread(target=forward, args=(source, target), daemon=True).start()


def main() -> None:
    """Run the relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("routes", nargs="+", help="pairs LISTEN_PORT:TARGET_PORT")
    threads: list[threading.Thread] = []
    for route in parser.parse_args().routes:
        port, target = map(int, route.split(":"))
        listener = socket.create_server((LOOPBACK, port))
        thread = threading.Thread(target=serve, args=(listener, target), daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
