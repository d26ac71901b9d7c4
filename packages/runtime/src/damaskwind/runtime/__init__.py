"""Settings, logs, metrics, clocks and the bridge between Twisted and asyncio."""
