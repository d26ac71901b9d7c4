"""Tests of the deployment measurements."""
