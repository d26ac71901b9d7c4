"""Let the readers that have much to parse take turns, one in each round of the event loop."""

import asyncio
from collections import deque

__all__ = ["MAX_PARSING_S", "ParsingTurns"]

# A reader that parses for longer than this lets other tasks run: a target may send many thousand
# small chunks in one piece.
MAX_PARSING_S = 0.002


class ParsingTurns:
    """The readers of one process that have parsed for long and have more at hand.

    However many there are, only one of them goes on in each round of the event loop, so that all
    other tasks wait for one of them at most.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for the turn of this reader, a round of the event loop at least."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        if not self._waiting:
            loop.call_soon(self._give_turn, loop)
        self._waiting.append(turn)
        await turn

    def _give_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        """Let the first reader go on that still waits."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            loop.call_soon(self._give_turn, loop)
