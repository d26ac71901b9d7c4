"""Run many engines and plain services in one process.

    python -m damaskwind.standins.fleet SETTINGS.toml

The settings consist of a `[fleet]` table, `[[fleet.engines]]` and
`[[fleet.services]]`. The control address returns the counts of all targets and the
load of every engine over time, and accepts commands to single targets.
"""

import sys
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from damaskwind.model.checking import check_table
from damaskwind.model.exception import SettingsError
from damaskwind.standins.settings import AnnounceSettings, EngineSettings, ServiceSettings

__all__ = ["FleetSettings", "main", "read_fleet_settings"]


class FleetSettings(NamedTuple):
    """The stand-ins of one process; `announce` applies to all of them."""

    engines: tuple[EngineSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    announce: AnnounceSettings = AnnounceSettings()
    control_address: str = "127.0.0.1:0"
    sample_interval_s: float = 0.2
    ready_file: str = ""


def read_fleet_settings(path: Path) -> FleetSettings:
    """Read and validate a settings file; raise `SettingsError` with all mistakes."""
    raw = tomllib.loads(path.read_text(encoding="utf-8"))
    checked = check_table(raw.get("fleet"), FleetSettings, "fleet")
    if checked.mistakes:
        raise SettingsError(checked.mistakes)
    return checked.value


def main(arguments: list[str]) -> int:
    """Run the fleet of a settings file until SIGTERM."""
    from damaskwind.standins.serving import serve_until_signal

    def build(reactor: Any) -> Any:
        # Imported only now, since importing klein installs the default reactor if there is none.
        from damaskwind.standins.target_fleet import Fleet

        return Fleet(settings, reactor)

    settings = read_fleet_settings(Path(arguments[0]))
    return serve_until_signal(build)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
