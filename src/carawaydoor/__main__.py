"""Runs the daemon with ``python -m carawaydoor``."""

from carawaydoor import daemon

if __name__ == "__main__":
    daemon.main()
