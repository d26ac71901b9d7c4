"""Who serves, told to every router; configurations published as written."""
