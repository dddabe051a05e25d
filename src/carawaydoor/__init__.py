"""Router for separate prefill and decode pools."""

from typing import Final

VERSION: Final = "0.1.0"
