"""The intent API that operators use over HTTP."""
