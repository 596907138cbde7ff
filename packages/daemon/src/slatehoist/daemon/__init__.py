"""The slatehoistd daemon: entry and sidecar."""
