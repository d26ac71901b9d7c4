"""Give each way in which grpclib fails over a lost connection the same name.

A connection that is lost as soon as it was made (a process that dies, a
forwarded port with nothing behind it) has no transport any more when the
stream is opened: grpclib then fails with an `AttributeError`, or with an error
of the HTTP/2 library under it. Callers that look for failed calls would miss
these, and a task that calls over and over would end.
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
