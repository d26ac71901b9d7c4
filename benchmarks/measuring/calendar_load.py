"""Generate a seeded load trace in four phases: quiet, a workshop, a deadline, churn.

The trace is open-loop and complete before the run: a chat's next prompt repeats its
earlier answers, which are a function of the seed and the request.
"""

import random
from typing import NamedTuple

from damaskwind.model.prefix import Message, ModelName
from damaskwind.standins.answers import TOKEN_BYTES, expected_answer

__all__ = ["Call", "LoadPlan", "Phase", "Turn", "make_phases", "make_trace"]

SYSTEM_PROMPT_TOKENS = 160
QUESTION_TOKENS = (10, 40)
ANSWER_TOKENS = (24, 72)
TURNS_PER_CHAT = 8
CONTINUE_SHARE = 0.85
PAUSE_MEAN_S = 3.0
MIN_PAUSE_S = 1.5
LARGE_WEIGHT = 3.0
WORKSHOP_FACTOR = 6.0
DEADLINE_FACTOR = 10.0
DEADLINE_ACCOUNTS = 2
CALLS_PER_S = 4.0
CHURN_BASE = 2.0
_LETTERS = "abcdefghijklmnopqrstuvwxyz     "


class Phase(NamedTuple):
    """One phase of the trace; `factors` multiply the rates of single accounts."""

    name: str
    start_s: float
    duration_s: float
    base: float
    factors: dict[str, float]


class LoadPlan(NamedTuple):
    """The accounts, the model and the request rates of a deployment."""

    accounts: tuple[str, ...]
    large_accounts: tuple[str, ...]
    workshop_account: str
    model: ModelName
    turns_per_s: float
    answer_seed: int
    routers: int


class Turn(NamedTuple):
    """One request of a chat with its complete expected answer."""

    at_s: float
    phase: str
    account: str
    chat: int
    router: int
    messages: tuple[Message, ...]
    answer: str
    answer_tokens: int


class Call(NamedTuple):
    """One call of a plain service; `key` is empty for an idempotent one."""

    at_s: float
    phase: str
    account: str
    router: int
    method: str
    path: str
    body: bytes
    key: str


class _Chat:
    """The state of a chat while the trace is generated."""

    def __init__(self, number: int, account: str, prompt: Message) -> None:
        self.number = number
        self.account = account
        self.messages = [prompt]
        self.turns = 0
        self.next_turn_s = 0.0
        self.router = -1


def make_phases(plan: LoadPlan, phase_s: float) -> list[Phase]:
    """Return the phases in order."""
    deadline = dict.fromkeys(plan.large_accounts[:DEADLINE_ACCOUNTS], DEADLINE_FACTOR)
    rows = (
        ("quiet", 1.0, {}),
        ("workshop", 1.0, {plan.workshop_account: WORKSHOP_FACTOR}),
        ("deadline", 1.0, deadline),
        ("churn", CHURN_BASE, {}),
    )
    return [
        Phase(name, index * phase_s, phase_s, base, factors)
        for index, (name, base, factors) in enumerate(rows)
    ]


def _random_text(rng: random.Random, size_tokens: int) -> str:
    """Return a random text of the given number of tokens."""
    return "".join(rng.choices(_LETTERS, k=size_tokens * TOKEN_BYTES))


class _TraceBuilder:
    """Generate the turns of one trace."""

    def __init__(self, plan: LoadPlan, rng: random.Random, salt: str) -> None:
        self._plan = plan
        self._salt = salt
        self._rng = rng
        self._chats: dict[str, list[_Chat]] = {account: [] for account in plan.accounts}
        self._prompts = {
            account: Message("system", _random_text(rng, SYSTEM_PROMPT_TOKENS))
            for account in plan.accounts
        }
        self._chat_count = 0

    def _choose_chat(self, account: str, at_s: float) -> _Chat:
        """Return an existing chat that is due for its next turn, or a new one."""
        resumable = [chat for chat in self._chats[account] if chat.next_turn_s <= at_s]
        if resumable and self._rng.random() < CONTINUE_SHARE:
            return self._rng.choice(resumable)
        chat = _Chat(self._chat_count, account, self._prompts[account])
        self._chat_count += 1
        self._chats[account].append(chat)
        return chat

    def _other_router(self, last: int) -> int:
        """Return a random router other than the chat's last one."""
        choices = [number for number in range(self._plan.routers) if number != last]
        return self._rng.choice(choices)

    def make_turn(self, at_s: float, phase: Phase, account: str) -> Turn:
        """Generate the next turn of some chat of an account."""
        rng, plan = self._rng, self._plan
        chat = self._choose_chat(account, at_s)
        question = _random_text(rng, rng.randint(*QUESTION_TOKENS))
        chat.messages.append(Message("user", f"{self._salt}/{chat.number}/{chat.turns} {question}"))
        size_tokens = rng.randint(*ANSWER_TOKENS)
        answer = expected_answer(plan.answer_seed, plan.model, chat.messages, size_tokens)
        chat.router = self._other_router(chat.router)
        messages = tuple(chat.messages)
        chat.messages.append(Message("assistant", answer))
        chat.turns += 1
        pause_s = MIN_PAUSE_S + rng.expovariate(1 / PAUSE_MEAN_S)
        chat.next_turn_s = at_s + pause_s
        if chat.turns == TURNS_PER_CHAT:
            self._chats[account].remove(chat)
        return Turn(
            at_s, phase.name, account, chat.number, chat.router, messages, answer, size_tokens
        )


def _poisson_arrivals(rng: random.Random, rate_per_s: float, phase: Phase) -> list[float]:
    """Draw the arrivals of a Poisson process over a phase."""
    times = []
    at_s = phase.start_s + rng.expovariate(rate_per_s)
    while at_s < phase.start_s + phase.duration_s:
        times.append(at_s)
        at_s += rng.expovariate(rate_per_s)
    return times


def _turn_rates(plan: LoadPlan, phase: Phase) -> dict[str, float]:
    """Return each account's turns per second in a phase."""
    weights = {name: LARGE_WEIGHT if name in plan.large_accounts else 1.0 for name in plan.accounts}
    base_rate = phase.base * plan.turns_per_s / sum(weights.values())
    return {
        name: base_rate * weights[name] * phase.factors.get(name, 1.0) for name in plan.accounts
    }


def _make_calls(
    plan: LoadPlan, phase: Phase, paths: dict[str, str], rng: random.Random, salt: str
) -> list[Call]:
    """Draw the calls of the plain service in a phase."""
    calls = []
    for number, at_s in enumerate(_poisson_arrivals(rng, CALLS_PER_S, phase)):
        runs_once = rng.random() < 0.5
        name = f"{salt}-{phase.name}-{number}"
        calls.append(
            Call(
                at_s,
                phase.name,
                rng.choice(plan.accounts),
                rng.randrange(plan.routers),
                "POST" if runs_once else "GET",
                f"{paths['once' if runs_once else 'status']}/{name}",
                name.encode() if runs_once else b"",
                name if runs_once else "",
            )
        )
    return calls


def make_trace(
    plan: LoadPlan, phases: list[Phase], paths: dict[str, str], seed: int, salt: str = ""
) -> tuple[list[Turn], list[Call]]:
    """Generate the trace; `paths` has a `status` path and a path `once` for keyed requests.

    Traces that differ only in `salt` have the same arrival times but different prompts.
    """
    rng = random.Random(seed)
    builder = _TraceBuilder(plan, rng, salt)
    turns: list[Turn] = []
    calls: list[Call] = []
    for phase in phases:
        arrivals = [
            (at_s, account)
            for account, rate_per_s in _turn_rates(plan, phase).items()
            for at_s in _poisson_arrivals(rng, rate_per_s, phase)
        ]
        turns += [builder.make_turn(at_s, phase, account) for at_s, account in sorted(arrivals)]
        calls += _make_calls(plan, phase, paths, rng, salt)
    return turns, calls
