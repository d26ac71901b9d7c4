"""Keep the last documents, and tell the newest by its difference from what a router holds."""

from collections import OrderedDict

from damaskwind.wire.document_difference import difference
from damaskwind.wire.news import Document, pack_document

__all__ = ["DocumentCache"]

# Versions that come every 0.3 s, for routers that are 2 s behind; some MB at most.
MAX_DOCUMENTS = 8


class DocumentCache:
    """The newest document of a replica and some before it.

    >>> cache = DocumentCache()
    >>> cache.put(4, b"four")
    >>> cache.put(6, b"six")
    >>> cache.newest_for(4).base_version, cache.newest_for(3).base_version
    (4, 0)
    """

    def __init__(self) -> None:
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        self._encoded: dict[int, Document] = {}

    @property
    def version(self) -> int:
        """Return the newest version; 0 when there is none."""
        return next(reversed(self._documents), 0)

    def put(self, version: int, document: bytes) -> None:
        """Take a document; an older one than the newest changes nothing."""
        if version <= self.version:
            return
        self._documents[version] = document
        self._encoded.clear()
        while len(self._documents) > MAX_DOCUMENTS:
            self._documents.popitem(last=False)

    def newest_for(self, held_version: int) -> Document:
        """Return the newest document for a router that holds a version; it is made once."""
        base_version = held_version if held_version in self._documents else 0
        encoded = self._encoded.get(base_version)
        if encoded is None:
            encoded = self._encoded[base_version] = self._encode(base_version)
        return encoded

    def _encode(self, base_version: int) -> Document:
        newest = self._documents[self.version]
        if not base_version:
            return Document(self.version, pack_document(newest))
        return Document(
            self.version, difference(self._documents[base_version], newest), base_version
        )
