"""Rendezvous hashing: processes make the same choice without exchanging messages."""

import xxhash


def rendezvous_weight(owner: str, name: str) -> int:
    """Return the weight of a name for an owner.

    The owner, a team or an entry, is the one for which names are chosen; the name with
    the highest weight is preferred.
    """
    return xxhash.xxh3_64_intdigest(f"{owner}\0{name}".encode())
