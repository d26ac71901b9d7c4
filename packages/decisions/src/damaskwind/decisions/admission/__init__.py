"""Admission control: queues, windows and throttles of requests to pools of targets."""
