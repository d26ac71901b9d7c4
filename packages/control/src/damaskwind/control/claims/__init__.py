"""The claim holder of a control process: service, start and catch-up."""
