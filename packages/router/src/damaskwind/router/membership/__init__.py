"""The UDP shell around the membership core."""
