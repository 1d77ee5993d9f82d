"""Outcomes of sending a request over a connection."""

from dataclasses import dataclass

from cyclamentally_calls.http_codec import Response


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete response to the request was received."""

    response: Response


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent, so it has not run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent without a complete response, so it may have run.

    Parameters
    ----------
    detail : str
        Reason.
    is_timeout : bool
        Whether the deadline passed.
    is_partial : bool
        Whether a part of the response was received.
    """

    detail: str
    is_timeout: bool = False
    is_partial: bool = False
