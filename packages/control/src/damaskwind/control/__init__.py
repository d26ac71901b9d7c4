"""The control replica: replicated log, intents, audit trail, claim holder."""
