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
    """The base of every error that this project raises on purpose."""


class RefusedError(DamaskwindError):
    """A request is refused; `refusal` says why and with which verdict."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.reason}: {refusal.detail}")
        self.refusal = refusal


class SettingsError(DamaskwindError):
    """A settings file has mistakes; `mistakes` holds a line for each."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


class ConfigurationError(DamaskwindError):
    """A configuration object is malformed or contradicts another one."""

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = mistakes


class MessageError(DamaskwindError):
    """A message between processes is malformed, oversized, old or not ours."""


class StorageError(DamaskwindError):
    """The data folder failed; the replica that owns it must stop."""


class CorruptLogError(StorageError):
    """A record in the middle of the log does not match its checksum."""
