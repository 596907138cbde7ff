"""Rendezvous hashing, by which processes agree without talking."""

import xxhash


def rendezvous_weight(owner: str, name: str) -> int:
    """Give the weight of a name for an owner; the highest one is preferred."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{name}".encode())
