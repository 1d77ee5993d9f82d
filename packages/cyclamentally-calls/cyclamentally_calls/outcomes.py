"""Outcomes of sending a request over a connection."""

from dataclasses import dataclass

from cyclamentally_calls.http_codec import Answer


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer that belongs to the request."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request has left: it has not run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and got no whole answer: it may have run.

    Parameters
    ----------
    detail : str
        Reason.
    is_timeout : bool
        Whether its time was over.
    is_partial : bool
        Whether the beginning of an answer had come.
    """

    detail: str
    is_timeout: bool = False
    is_partial: bool = False
