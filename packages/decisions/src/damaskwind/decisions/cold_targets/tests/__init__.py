"""Tests of cold targets."""
