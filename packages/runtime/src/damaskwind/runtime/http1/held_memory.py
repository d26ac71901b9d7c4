"""The interfaces by which connections account for the bytes that they hold."""

from typing import Protocol

from damaskwind.runtime.http1.messages import Headers

__all__ = ["AnswerAccount", "CallerSide", "HeldMemory", "RequestAccount"]


class AnswerAccount(Protocol):
    """The account of one answer, as far as it is in this process."""

    def hold(self, size_bytes: int) -> None:
        """Add bytes; a negative size releases them."""

    def take(self, size_bytes: int) -> None:
        """Release bytes that the caller's socket has accepted."""


class RequestAccount(AnswerAccount, Protocol):
    """The account of a request, from its head to the end of its answer."""

    def begin_body(self, size_bytes: int) -> bool:
        """Return whether to read the body now; `size_bytes` is 0 if its length is unknown.

        After `False` the connection is told to resume or to refuse, possibly before the return.
        """

    def add_body(self, size_bytes: int) -> bool:
        """Record a piece that was read; return whether to read on.

        A body of known length is accounted for as a whole by `begin_body`; one of unknown length
        grows by each piece.
        """

    def release_body(self) -> None:
        """Release the bytes of the body, since the request won't be sent again."""

    def close(self) -> None:
        """Drop all that is held; a second call has no effect."""


class CallerSide(Protocol):
    """What the account may do with its caller's connection.

    `has_begun` tells whether an answer to the present request was begun.
    """

    has_begun: bool

    def resume_body(self) -> None:
        """Read the body that was left unread."""

    def refuse_body(self, retry_after_s: float) -> None:
        """Answer 503, since the body is not read; the request has not run."""

    def time_out_body(self) -> None:
        """Answer 408, since the caller sends the body too slowly."""

    def give_up(self) -> None:
        """Reset the connection, since too many bytes are in hand."""


class HeldMemory(Protocol):
    """Opens the account of each request."""

    def open(self, caller: CallerSide, headers: Headers) -> RequestAccount:
        """Return the account of a request whose head was read."""
