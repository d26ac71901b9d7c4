"""Fleet-wide limits of client accounts by leased shares."""
