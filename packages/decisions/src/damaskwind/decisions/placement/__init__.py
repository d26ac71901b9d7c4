"""Placement of chats on targets: rendezvous ranks, load bounds, spills and policies."""
