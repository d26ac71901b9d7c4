"""Tests that the settings files under `examples/` are valid."""

from pathlib import Path
from unittest import TestCase

from damaskwind.model.configuration_codec import read_configuration_file
from damaskwind.runtime.settings import read_settings
from damaskwind.standins.fleet import read_fleet_settings

_EXAMPLES = Path(__file__).resolve().parents[6] / "examples"
_TARGETS = {"kenanga": (6, 3), "may-tinh": (5, 3)}


class ExamplesTest(TestCase):
    """Read each deployment as its processes do."""

    def test_each_deployment_is_complete_and_consistent(self) -> None:
        for name, (engines, services) in _TARGETS.items():
            folder = _EXAMPLES / name
            routers = [read_settings(path) for path in sorted(folder.glob("router-*.toml"))]
            controls = [read_settings(path) for path in sorted(folder.glob("control-*.toml"))]
            self.assertEqual((len(routers), len(controls)), (8, 3), name)
            self.assertEqual(len({each.node.failure_domain for each in routers}), 3)
            self.assertEqual(
                {each.router.replicas for each in routers}, {controls[0].control.bootstrap_replicas}
            )
            configuration = read_configuration_file(folder / "configuration.toml")
            self.assertEqual(len(configuration.accounts), 10)
            fleet = read_fleet_settings(folder / "standins.toml")
            self.assertEqual((len(fleet.engines), len(fleet.services)), (engines, services))
            names = {engine.service for engine in fleet.engines}
            names |= {service.service for service in fleet.services}
            self.assertEqual(names, set(configuration.services))
            domains = {each.node.failure_domain for each in routers}
            self.assertEqual({engine.failure_domain for engine in fleet.engines}, domains)
