"""Follow the confirmed configuration and never move to a lower revision."""
