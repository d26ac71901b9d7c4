"""Count what the updates of a replica consist of, by kind of content."""

from damaskwind.runtime.load_meter import SENT_ITEMS
from damaskwind.runtime.tallies import Tallies
from damaskwind.wire.news import News

__all__ = ["count_items"]


def count_items(news: News, tallies: Tallies) -> None:
    """Add the parts of one update to the counter `SENT_ITEMS`.

    Together with the bytes sent, the counts show which part of the updates grows.

    >>> tallies = Tallies()
    >>> count_items(News("epoch", 1, 1, True, (), 1, (), ()), tallies)
    >>> tallies.totals("sent_items")
    {(('kind', 'news'),): 1}
    """
    for kind, items in _items(news).items():
        if items:
            tallies.count(SENT_ITEMS, items, kind=kind)


def _items(news: News) -> dict[str, int]:
    """Return the number of items of each kind in one update."""
    return {
        "news": 1,
        "records": len(news.records),
        "phases": len(news.phases),
        "heartbeats": len(news.last_seen),
        "suspicions": len(news.suspicions),
        "load_sums": news.held is not None,
        "token_sums": news.held_tokens is not None,
        "silence_lists": news.others_last_seen is not None,
        "peers": len(news.peers or ()),
        "brittle": news.brittle is not None,
    }
