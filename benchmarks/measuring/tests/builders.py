"""Build small turns and outcomes for the tests."""

from benchmarks.measuring.calendar_load import Turn
from benchmarks.measuring.driver import TurnOutcome
from damaskwind.model.prefix import Message, ModelName, prefix_chain

__all__ = ["MODEL", "outcome_of", "prompt_digest", "turn_at"]

MODEL = ModelName("model", "1", "")


def turn_at(at_s: float, chat: int, questions: tuple[str, ...], phase: str = "quiet") -> Turn:
    """Return a turn of a chat with its earlier questions and answers."""
    messages = [Message("system", "sys ")]
    for question in questions[:-1]:
        messages += [Message("user", question), Message("assistant", f"to {question}")]
    messages.append(Message("user", questions[-1]))
    fields = dict.fromkeys(Turn._fields)
    fields |= {"at_s": at_s, "phase": phase, "account": "account", "chat": chat, "router": 0}
    fields |= {"messages": tuple(messages), "answer": f"to {questions[-1]}", "answer_tokens": 4}
    return Turn(**fields)


def prompt_digest(turn: Turn) -> str:
    """Return the digest by which a target counts the runs of a turn."""
    return prefix_chain(MODEL, list(turn.messages))[-1]


def outcome_of(turn: Turn, **changes) -> TurnOutcome:
    """Return the outcome of a completely answered turn, with `changes` to its fields."""
    whole = TurnOutcome(turn, "router-1.a", 200, "ran", "", turn.answer, True, 10, 0)
    return whole._replace(**changes)
