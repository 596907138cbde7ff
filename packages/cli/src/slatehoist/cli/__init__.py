"""Operators' command line ``slatehoist``, a client of the resource API."""
