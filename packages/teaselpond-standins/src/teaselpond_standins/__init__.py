"""Simulate the platform, the engines and the services for tests."""
