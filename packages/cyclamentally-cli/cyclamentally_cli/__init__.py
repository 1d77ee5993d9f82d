"""The command line tool for operators."""

__version__ = "0.1.0"
