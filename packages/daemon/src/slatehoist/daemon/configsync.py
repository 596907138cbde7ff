"""Encoding of configuration changes for links between processes."""

import msgspec

from slatehoist.config import Replica, Resource
from slatehoist.wire.messages import ConfigAnswer

#: Largest number of changes in one message.
MAX_CHANGES = 200


def encode_changes(replica: Replica, since: int) -> ConfigAnswer:
    """Return a message with the next changes after a revision."""
    changes = replica.changes_since(since)[:MAX_CHANGES]
    documents = [msgspec.json.encode(change) for change in changes]
    return ConfigAnswer(replica.revision, documents)


def decode_changes(answer: ConfigAnswer) -> list[Resource]:
    """Return the changes of a message."""
    return [msgspec.json.decode(doc, type=Resource) for doc in answer.documents]
