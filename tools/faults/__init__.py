"""Fault matrix: worlds of real processes, faults, and checks on what they did."""
