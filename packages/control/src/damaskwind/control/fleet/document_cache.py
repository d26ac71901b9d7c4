"""Keep the last documents, and tell the newest by its difference from what a router holds."""

from collections import OrderedDict

from damaskwind.wire.document_difference import difference
from damaskwind.wire.news import Document, pack_document

__all__ = ["DocumentShelf"]

# Versions that come every 0.3 s, for routers that are 2 s behind; some MB at most.
KEPT_DOCUMENTS = 8


class DocumentShelf:
    """The newest document of a replica and some before it.

    >>> shelf = DocumentShelf()
    >>> shelf.put(4, b"four")
    >>> shelf.put(6, b"six")
    >>> shelf.newest_for(4).base_version, shelf.newest_for(3).base_version
    (4, 0)
    """

    def __init__(self) -> None:
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        self._told: dict[int, Document] = {}

    @property
    def version(self) -> int:
        """Return the newest version; 0 when there is none."""
        return next(reversed(self._documents), 0)

    def put(self, version: int, document: bytes) -> None:
        """Take a document; an older one than the newest changes nothing."""
        if version <= self.version:
            return
        self._documents[version] = document
        self._told.clear()
        while len(self._documents) > KEPT_DOCUMENTS:
            self._documents.popitem(last=False)

    def newest_for(self, held_version: int) -> Document:
        """Return the newest document for a router that holds a version; it is made once."""
        base_version = held_version if held_version in self._documents else 0
        told = self._told.get(base_version)
        if told is None:
            told = self._told[base_version] = self._tell(base_version)
        return told

    def _tell(self, base_version: int) -> Document:
        newest = self._documents[self.version]
        if not base_version:
            return Document(self.version, pack_document(newest))
        return Document(
            self.version, difference(self._documents[base_version], newest), base_version
        )
