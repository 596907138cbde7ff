"""Changes of configuration as they travel on links."""

import msgspec

from slatehoist.config import Replica, Resource
from slatehoist.wire.messages import ConfigAnswer

#: Changes sent in one message at most.
MAX_CHANGES = 200


def encode_changes(replica: Replica, since: int) -> ConfigAnswer:
    """Pack the changes after a revision that are in force here."""
    changes = replica.changes_since(since)[:MAX_CHANGES]
    documents = [msgspec.json.encode(change) for change in changes]
    return ConfigAnswer(replica.revision, documents)


def decode_changes(answer: ConfigAnswer) -> list[Resource]:
    """Unpack changes of configuration."""
    return [msgspec.json.decode(doc, type=Resource) for doc in answer.documents]
