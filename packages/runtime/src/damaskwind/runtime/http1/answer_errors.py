"""The errors of answers that end early, violate the protocol or have no end."""

from damaskwind.model.exception import DamaskwindError

__all__ = ["AnswerBrokenError", "AnswerTooLongError"]


class AnswerBrokenError(DamaskwindError):
    """The answer ended early, was reset, or violated the protocol."""


class AnswerTooLongError(AnswerBrokenError):
    """A part of the answer exceeds its bound, so that it may have no end.

    `part` names what is too long, for logs and metrics; `bound` is in `unit`s.

    >>> error = AnswerTooLongError("event", 1024)
    >>> error.part, str(error)
    ('event', 'event of over 1024 bytes')
    """

    def __init__(self, part: str, bound: int, unit: str = "bytes") -> None:
        super().__init__(f"{part} of over {bound} {unit}")
        self.part = part
        self.bound = bound
