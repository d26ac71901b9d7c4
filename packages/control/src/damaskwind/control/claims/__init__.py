"""The claim holder of a control process: its service, start and catch-up."""
