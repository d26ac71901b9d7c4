"""Store the configuration in force, so that it survives a restart of the router."""

from pathlib import Path

import xxhash
from loguru import logger

from damaskwind.model.configuration import Configuration
from damaskwind.model.configuration_codec import decode_configuration, encode_configuration
from damaskwind.model.exception import ConfigurationError
from damaskwind.runtime.files import replace_file_synced

__all__ = ["read_state_file", "write_state_file"]

_DIGEST_BYTES = 16


def write_state_file(path: Path, configuration: Configuration) -> None:
    """Replace the file atomically by one with a configuration."""
    data = encode_configuration(configuration)
    replace_file_synced(path, xxhash.xxh3_128_digest(data) + data)


def read_state_file(path: Path) -> Configuration | None:
    """Return the configuration in a file, or `None` if it is missing or damaged.

    A damaged file does no harm: the router polls other sources, as a new router does.
    """
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        logger.warning("state file not read", path=str(path), error=str(error))
        return None
    digest, data = content[:_DIGEST_BYTES], content[_DIGEST_BYTES:]
    if xxhash.xxh3_128_digest(data) != digest:
        logger.warning("state file damaged; ignored", path=str(path))
        return None
    try:
        return decode_configuration(data)
    except ConfigurationError as error:
        logger.warning("state file can't be read; ignored", path=str(path), error=str(error))
        return None
