"""Whether, when and how often a request may be sent again."""
