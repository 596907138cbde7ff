"""Prefix affinity: which endpoints are thought to hold a prompt's prefix.

Cache events come late and with gaps, so entries remember where they sent a prefix
themselves.
"""

from collections import OrderedDict
from collections.abc import Sequence

import xxhash

#: Bytes of prompt per hashed block.
BLOCK_BYTES = 256
#: Blocks of a prompt that are hashed at most.
MAX_BLOCKS = 16
#: Prefixes remembered at most.
MAX_PREFIXES = 50_000
#: Endpoints remembered per prefix.
MAX_HOLDERS = 3


def prefix_keys(prompt: bytes) -> list[int]:
    """Hash the growing prefixes of a prompt, longest first."""
    state = xxhash.xxh3_64()
    keys = []
    last = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for index in range(last):
        state.update(prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES])
        keys.append(state.intdigest())
    keys.reverse()
    return keys


class PrefixIndex:
    """Remember which endpoints last took a prefix."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[int, list[str]] = OrderedDict()

    def holders(self, keys: Sequence[int]) -> list[str]:
        """Give the endpoints that hold the longest known prefix, newest first."""
        for key in keys:
            names = self._holders.get(key)
            if names:
                self._holders.move_to_end(key)
                return list(names)
        return []

    def record_sent(self, keys: Sequence[int], endpoint: str) -> None:
        """Remember that an endpoint took the prefixes."""
        for key in keys:
            names = self._holders.setdefault(key, [])
            if endpoint in names:
                names.remove(endpoint)
            names.insert(0, endpoint)
            del names[MAX_HOLDERS:]
            self._holders.move_to_end(key)
        while len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)
