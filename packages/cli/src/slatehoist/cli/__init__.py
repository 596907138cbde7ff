"""The slatehoist binary: the operators' command line over the resource API."""
