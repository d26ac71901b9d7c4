"""The hierarchy of errors that the packages raise."""

from damaskwind.model.verdict import Refusal

__all__ = [
    "ConfigurationError",
    "CorruptLogError",
    "DamaskwindError",
    "MessageError",
    "RefusedError",
    "SettingsError",
    "StorageError",
]


class DamaskwindError(Exception):
    """The base class of the errors that these packages raise."""


class RefusedError(DamaskwindError):
    """A request is refused; `refusal` gives the reason and the verdict."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.reason}: {refusal.detail}")
        self.refusal = refusal


class SettingsError(DamaskwindError):
    """A settings file has mistakes; `mistakes` has one line for each."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


class ConfigurationError(DamaskwindError):
    """A configuration object is malformed or contradicts another one."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


class MessageError(DamaskwindError):
    """A message between processes is malformed, oversized, stale or not of this cluster."""


class StorageError(DamaskwindError):
    """The data folder failed; the replica that owns it must stop."""


class CorruptLogError(StorageError):
    """A record in the middle of the log does not match its checksum."""
