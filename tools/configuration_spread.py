"""Measures how long the link of one instance carries a configuration for its followers.

The results, over a link of 10 Mbit/s, are for docs/CAPACITY.md. Several followers ask at the same time, as
they do when a reader of the store announces a change.
"""

from __future__ import annotations

import concurrent.futures
import json
import random
import string
import threading
import time
from collections.abc import Iterable
from typing import Any, Final

import waitress.server

from carawaydoor.fleet import peer_http, source_relay
from carawaydoor.operating import configuration_source
from tools import thin_link

LINK_MBPS: Final = 10.0
FOLLOWER_COUNTS: Final = (6, 17, 33)
ROUTE_COUNTS: Final = (50, 1400)
# Longer than any transfer here takes; instances give up sooner.
TIMEOUT_S: Final = 30.0


def large_configuration(route_count: int) -> bytes:
    """Return a configuration whose routes have random names."""
    generator = random.Random(1)

    def name() -> str:
        return "".join(generator.choices(string.ascii_lowercase + string.digits, k=8))

    routes = [
        {
            "name": name(),
            "host": f"{name()}.example",
            "pathPrefix": f"/{name()}/",
            "kind": "streaming",
            "timeoutMs": 14000,
            "targetLatencyMs": 900,
            "priority": 1,
            "service": "planner",
            "maxAttempts": 2,
            "allowResume": True,
            "targetGapMs": 300,
        }
        for _ in range(route_count)
    ]
    return json.dumps({"version": 1, "routes": routes, "services": []}).encode()


def measure_s(content: bytes, follower_count: int) -> float:
    """Return the seconds until all followers have received a response of an instance.

    :param content: the response
    """

    def app(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        start_response("200 OK", [("Content-Length", str(len(content)))])
        return [content]

    server = waitress.server.create_server(app, map={}, host="127.0.0.1", port=0, threads=8)
    link = thin_link.ThinLink(server.effective_port, LINK_MBPS)
    threading.Thread(target=server.run, daemon=True).start()
    with concurrent.futures.ThreadPoolExecutor(follower_count) as pool:
        started_s = time.monotonic()
        exchanges = [
            pool.submit(peer_http.get, "127.0.0.1", link.port, "/", {}, TIMEOUT_S)
            for _ in range(follower_count)
        ]
        for each in exchanges:
            each.result()
        took_s = time.monotonic() - started_s
    link.close()
    server.close()
    return took_s


def main() -> None:
    """Print the time by size of the configuration, form and number of followers."""
    print(f"{'routes':>8}{'form':>14}{'bytes':>10}{'followers':>11}{'seconds':>9}")
    for route_count in ROUTE_COUNTS:
        item = configuration_source.SourceItem("op/config", large_configuration(route_count), 2)
        changes = configuration_source.SourceChanges((item,), 2)
        relayed = source_relay.RelayedChanges(changes, 0.1, 1.0)
        for compresses in (False, True):
            content = source_relay.encode(relayed, compresses)
            form = "compressed" if compresses else "as before"
            for follower_count in FOLLOWER_COUNTS:
                took_s = measure_s(content, follower_count)
                print(
                    f"{route_count:>8}{form:>14}{len(content):>10}{follower_count:>11}{took_s:>9.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
