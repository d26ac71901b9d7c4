"""Translate grpclib's failures over lost connections into one exception.

A connection that is lost right after it was established (the process dies, or a
forwarded port has no listener) has no transport when the stream is opened: grpclib
then raises an `AttributeError` or an error of its HTTP/2 library. Callers that catch
failed calls would miss these, and a task that calls in a loop would end.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from grpclib.exceptions import ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

__all__ = ["translate_lost_connections"]

_TRANSPORT = "_transport"


@contextmanager
def translate_lost_connections() -> Iterator[None]:
    """Raise `StreamTerminatedError` for every failure of a lost connection."""
    try:
        yield
    except (H2Error, ProtocolError) as error:
        raise StreamTerminatedError(f"Connection lost: {error!r}") from error
    except AttributeError as error:
        if error.name != _TRANSPORT:
            raise
        raise StreamTerminatedError("Connection lost") from error
