"""The version of this release."""

from typing import Final

VERSION: Final = "0.1.0"
