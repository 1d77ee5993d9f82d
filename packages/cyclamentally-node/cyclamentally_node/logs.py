"""Logging of JSON objects, one per line."""

from logging import DEBUG, INFO, WARNING, Formatter

from absl.logging import get_absl_handler, get_absl_logger, use_absl_handler
from msgspec.json import encode

LEVELS = {"debug": DEBUG, "info": INFO, "warning": WARNING}


class JsonFormatter(Formatter):
    """Formats a log record as one line of JSON.

    Parameters
    ----------
    node : str
        Name of the node, written to every line.
    """

    __slots__ = ("node",)

    def __init__(self, node):
        super().__init__()
        self.node = node

    def format(self, record):
        """Return the line of a log record."""
        line = {
            "time": self.formatTime(record),
            "epoch_s": round(record.created, 4),
            "level": record.levelname.lower(),
            "node": self.node,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return encode(line).decode()


def configure_logging(node, level):
    """Log to standard error as JSON, from the given level up."""
    use_absl_handler()
    get_absl_handler().setFormatter(JsonFormatter(node))
    get_absl_logger().setLevel(LEVELS[level])
