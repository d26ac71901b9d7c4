"""Cache recent documents, and encode the newest as a difference from a router's version."""

from collections import OrderedDict

from damaskwind.wire.document_difference import difference
from damaskwind.wire.news import Document, pack_document

__all__ = ["DocumentCache"]

# Enough for versions published every 0.3 s and routers that are 2 s behind; a few MB at most.
MAX_DOCUMENTS = 8


class DocumentCache:
    """The newest document of a replica and some earlier ones.

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
        """Return the newest version; 0 if there is none."""
        return next(reversed(self._documents), 0)

    def put(self, version: int, document: bytes) -> None:
        """Add a document; one that is no newer than the newest is ignored."""
        if version <= self.version:
            return
        self._documents[version] = document
        self._encoded.clear()
        while len(self._documents) > MAX_DOCUMENTS:
            self._documents.popitem(last=False)

    def newest_for(self, held_version: int) -> Document:
        """Return the newest document, encoded for a router that has a version, and cache it."""
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
