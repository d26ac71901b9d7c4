"""Settings of the stand-ins: one table per engine or plain service."""

from typing import NamedTuple

from damaskwind.model.targets import FencingMode, ModelOffer

__all__ = ["AnnounceSettings", "EngineSettings", "ServiceSettings"]


class AnnounceSettings(NamedTuple):
    """How a target announces itself to `routers` (`IP:port`), one after the other.

    An `incarnation` of 0 is replaced by one from the wall clock, so that it increases
    with every start of the process.
    """

    routers: tuple[str, ...] = ()
    key: str = ""
    interval_s: float = 1.0
    lease_s: float = 6.0
    incarnation: int = 0


class EngineSettings(NamedTuple):
    """One engine. Engines with the same `seed` give the same answer to a prompt.

    The engine announces `announced_address` (`IP:port`), for instance a link of a
    faulty network, or where it listens if that is empty. A running request gets one
    token every `token_interval_s`; prompt tokens that are not cached are computed at
    `prefill_tokens_per_s`, shared by all requests. Load reports are `load_lag_s` old
    and cache events appear after `event_delay_s`; `event_loss_share` of them are lost.
    With `show_timing` each chunk of a stream includes the time at which its token was
    produced, by the monotonic clock that all processes of a machine share.
    """

    target_id: str
    service: str = "damask-pool"
    failure_domain: str = "local"
    host: str = "127.0.0.1"
    port: int = 0
    announced_address: str = ""
    seed: int = 1
    models: tuple[ModelOffer, ...] = (ModelOffer("damask", "1"),)
    fencing: FencingMode = FencingMode.IGNORED
    token_interval_s: float = 0.02
    prefill_tokens_per_s: float = 50_000.0
    max_running_requests: int = 32
    capacity_tokens: int = 100_000
    cache_tokens: int = 50_000
    default_answer_tokens: int = 16
    load_lag_s: float = 0.5
    event_delay_s: float = 0.5
    event_loss_share: float = 0.0
    resume_hold_s: float = 5.0
    show_timing: bool = False
    announce: AnnounceSettings = AnnounceSettings()


class ServiceSettings(NamedTuple):
    """One target of a plain service; a call takes `call_duration_s`.

    `announced_address` is as for an engine.
    """

    target_id: str
    service: str = "edge-api"
    failure_domain: str = "local"
    host: str = "127.0.0.1"
    port: int = 0
    announced_address: str = ""
    seed: int = 1
    call_duration_s: float = 0.0
    load_lag_s: float = 0.5
    announce: AnnounceSettings = AnnounceSettings()
