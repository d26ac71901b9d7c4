"""The control replica: replicated log, operator intents, audit trail, claim holder."""
