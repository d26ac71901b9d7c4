"""The interface of the checks that a request passes before it may wait for a target."""

from typing import NamedTuple, Protocol

from damaskwind.router.forwarding.call import Call

__all__ = ["AdmissionGate", "GateRefusal"]


class GateRefusal(NamedTuple):
    """Why a gate refuses a request, which has not run, and when its caller should retry.

    Without `retry_after_s` the delay is chosen by the admission of the request's pool. With a
    `text` the refusal is final: no Retry-After is sent, and the text is its body.
    """

    why: str
    retry_after_s: float | None = None
    text: bytes | None = None


class AdmissionGate(Protocol):
    """A check that refuses a request at once or lets it pass; it never waits."""

    def check(self, call: Call) -> GateRefusal | None:
        """Return why a request is refused, or `None` if it may pass."""
