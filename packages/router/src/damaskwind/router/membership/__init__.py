"""The gossip node and UDP service around the membership core."""
