"""Imported by the processes of a soak run at their start: refuses connections while they are cut off.

A proxy in front of an upstream can't refuse the connections of one process only.
"""

from __future__ import annotations

import json
import os
import pathlib
import socket
import time
from typing import Any

# The path of a file that exists while the process is cut off; also set by the soak environment.
CUT_FILE_VARIABLE = "SOAK_CUT_FILE"

_connect = socket.create_connection


def _create_connection(
    address: tuple[str, int], timeout: float | None = None, *args: Any, **kwargs: Any
) -> socket.socket:
    path = pathlib.Path(os.environ.get(CUT_FILE_VARIABLE, ""))
    if path.is_file():
        cut = json.loads(path.read_text())
        if address[1] in cut["ports"]:
            if cut["is_silent"]:
                time.sleep(timeout or 1.0)
                raise TimeoutError("cut off by the soak")
            raise ConnectionRefusedError("cut off by the soak")
    return _connect(address, timeout, *args, **kwargs)


socket.create_connection = _create_connection  # type: ignore[assignment]
