"""Randomized soak: real gateways on loopback, random faults, checked guarantees."""
