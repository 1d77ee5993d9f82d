"""Tests of the decision package."""
