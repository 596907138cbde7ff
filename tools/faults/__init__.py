"""Fault matrix: real processes, injected faults, and checks of their behaviour."""
