"""Randomized soak: real gateways on loopback, faults from outside, promises checked."""
