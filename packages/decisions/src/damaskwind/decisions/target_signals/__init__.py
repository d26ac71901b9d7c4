"""Signals that targets send in their answers, how long each lasts, and their precedence."""
