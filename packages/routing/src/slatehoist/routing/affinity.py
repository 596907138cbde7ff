"""Prefix affinity: find the endpoints that probably have a prompt's prefix cached.

Cache events from endpoints arrive late and incompletely, so each entry remembers to
which endpoints it sent a prefix.
"""

from collections import OrderedDict
from collections.abc import Sequence

import xxhash

#: Bytes of prompt per hashed block.
BLOCK_BYTES = 256
#: Largest number of blocks of a prompt that are hashed.
MAX_BLOCKS = 16
#: Largest number of prefixes remembered.
MAX_PREFIXES = 50_000
#: Largest number of endpoints remembered per prefix.
MAX_HOLDERS = 3


def prefix_keys(prompt: bytes) -> list[int]:
    """Return the hashes of a prompt's prefixes of whole blocks, longest first."""
    state = xxhash.xxh3_64()
    keys = []
    last = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for index in range(last):
        state.update(prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES])
        keys.append(state.intdigest())
    keys.reverse()
    return keys


class PrefixIndex:
    """LRU index of the endpoints to which each prefix was last sent."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[int, list[str]] = OrderedDict()

    def holders(self, keys: Sequence[int]) -> list[str]:
        """Return the endpoints of the longest known prefix, latest first."""
        for key in keys:
            names = self._holders.get(key)
            if names:
                self._holders.move_to_end(key)
                return list(names)
        return []

    def record_sent(self, keys: Sequence[int], endpoint: str) -> None:
        """Record that the prefixes were sent to an endpoint."""
        for key in keys:
            names = self._holders.setdefault(key, [])
            if endpoint in names:
                names.remove(endpoint)
            names.insert(0, endpoint)
            del names[MAX_HOLDERS:]
            self._holders.move_to_end(key)
        while len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)
