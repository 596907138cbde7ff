"""Rows in the list of servers that name no server, as other writers leave them."""

import json


def make_server_row(**fields) -> dict:
    """Build the row of a server that does not exist."""
    values = {
        "service": "app",
        "addr": "127.0.0.1:9",
        "zone": "a",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1_700_000_000_000,
    }
    return {**values, **fields}


def odd_server_rows() -> dict[str, bytes]:
    """Build odd rows as JSON, by what is odd about them."""
    rows = {
        "slots beyond a float": make_server_row(slots=10**400),
        "port out of range": make_server_row(addr="127.0.0.1:99999"),
        "port 0": make_server_row(addr="127.0.0.1:0"),
        "port of other digits": make_server_row(addr="127.0.0.1:\u00b2"),
        "port of many digits": make_server_row(addr="127.0.0.1:" + "9" * 5000),
        "host with a space": make_server_row(addr="no host:80"),
        "host with an empty label": make_server_row(addr="a..b:80"),
        "host with a path": make_server_row(addr="127.0.0.1/x:80"),
        "host with a long label": make_server_row(addr="h" * 300 + ":80"),
        "host with one bracket": make_server_row(addr="[127.0.0.1:80"),
        "host without brackets": make_server_row(addr="::1:80"),
        "unspecified host": make_server_row(addr="0.0.0.0:80"),
    }
    encoded = {name: json.dumps(row).encode() for name, row in rows.items()}
    for field in ("addr", "state", "coldLeftMs", "other"):
        # Some of these can be decoded, and are too deep for what follows.
        for depth in (40, *range(940, 1000), 5000, 100_000):
            text = json.dumps(make_server_row(**{field: 0}))
            nested = "[" * depth + "]" * depth
            text = text.replace(f'"{field}": 0', f'"{field}": {nested}')
            encoded[f"{field} nested {depth} deep"] = text.encode()
    return encoded
