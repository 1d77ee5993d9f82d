"""The closed list of error kinds and the answer for each."""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether the refused request was executed by an upstream."""

    NO = "no"
    UNKNOWN = "unknown"


class Kind(StrEnum):
    """Reasons for the refusal of a request, message or command."""

    BAD_REQUEST = "bad_request"
    BAD_KEY = "bad_key"
    BODY_TOO_LARGE = "body_too_large"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    LINK_FULL = "link_full"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_OVERLOADED = "upstream_overloaded"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TRUNCATED = "upstream_truncated"
    UPSTREAM_LEFT = "upstream_left"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    REQUEST_QUARANTINED = "request_quarantined"
    REQUEST_SUSPENDED = "request_suspended"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"
    CANCELLED = "cancelled"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    ENDED_BY_SHUTDOWN = "ended_by_shutdown"
    MESSAGE_MALFORMED = "message_malformed"
    MESSAGE_TOO_LARGE = "message_too_large"
    TRANSFER_BUSY = "transfer_busy"
    PROFILE_INVALID = "profile_invalid"
    PROFILE_TOO_LARGE = "profile_too_large"
    PROFILE_MISSING = "profile_missing"
    VERSION_CONFLICT = "version_conflict"
    VERSION_STALE = "version_stale"
    DELTA_UNUSABLE = "delta_unusable"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PLATFORM_OUTCOME_UNKNOWN = "platform_outcome_unknown"
    SETTINGS_INVALID = "settings_invalid"
    NODE_UNREACHABLE = "node_unreachable"
    NOT_IN_FORCE = "not_in_force"
    INTERNAL_ERROR = "internal_error"
    INTERNAL_ERROR_NOT_RUN = "internal_error_not_run"


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a caller or an operator for an error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    ran : Ran
        Whether the request was executed by an upstream.
    retry_after : int or None
        Wait before a retry, in seconds; None if a retry is useless.
    exit_code : int
        Exit code of the command line tool.
    """

    status: int
    ran: Ran
    retry_after: int | None
    exit_code: int


EXIT_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5

ANSWERS = {
    Kind.BAD_REQUEST: Answer(400, Ran.NO, None, EXIT_INPUT),
    Kind.BAD_KEY: Answer(400, Ran.NO, None, EXIT_INPUT),
    Kind.BODY_TOO_LARGE: Answer(413, Ran.NO, None, EXIT_INPUT),
    Kind.NO_ROUTE: Answer(404, Ran.NO, None, EXIT_INPUT),
    Kind.NO_UPSTREAM: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.QUEUE_FULL: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.QUEUE_TIMEOUT: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.LINK_FULL: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.RETRY_BUDGET_SPENT: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.DEADLINE_EXCEEDED: Answer(504, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.UPSTREAM_UNREACHABLE: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.UPSTREAM_OVERLOADED: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.UPSTREAM_TIMEOUT: Answer(504, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.UPSTREAM_FAILED: Answer(502, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.UPSTREAM_TRUNCATED: Answer(502, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.UPSTREAM_LEFT: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.HEADERS_TOO_LARGE: Answer(431, Ran.NO, None, EXIT_INPUT),
    Kind.REQUEST_TIMEOUT: Answer(408, Ran.NO, None, EXIT_UNAVAILABLE),
    Kind.REQUEST_QUARANTINED: Answer(422, Ran.NO, None, EXIT_INPUT),
    Kind.REQUEST_SUSPENDED: Answer(503, Ran.NO, 600, EXIT_UNAVAILABLE),
    Kind.KEY_IN_PROGRESS: Answer(409, Ran.UNKNOWN, 1, EXIT_CONFLICT),
    Kind.KEY_REUSED: Answer(422, Ran.NO, None, EXIT_INPUT),
    Kind.OUTCOME_UNKNOWN: Answer(409, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.OWNER_UNREACHABLE: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.CANCELLED: Answer(499, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.NOT_READY: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.STOPPING: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.ENDED_BY_SHUTDOWN: Answer(504, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.MESSAGE_MALFORMED: Answer(400, Ran.NO, None, EXIT_INPUT),
    Kind.MESSAGE_TOO_LARGE: Answer(413, Ran.NO, None, EXIT_INPUT),
    Kind.TRANSFER_BUSY: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.PROFILE_INVALID: Answer(422, Ran.NO, None, EXIT_INPUT),
    Kind.PROFILE_TOO_LARGE: Answer(413, Ran.NO, None, EXIT_INPUT),
    Kind.PROFILE_MISSING: Answer(404, Ran.NO, None, EXIT_INPUT),
    Kind.VERSION_CONFLICT: Answer(409, Ran.NO, None, EXIT_CONFLICT),
    Kind.VERSION_STALE: Answer(409, Ran.NO, None, EXIT_CONFLICT),
    Kind.DELTA_UNUSABLE: Answer(409, Ran.NO, None, EXIT_CONFLICT),
    Kind.PLATFORM_UNAVAILABLE: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.PLATFORM_OUTCOME_UNKNOWN: Answer(504, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.SETTINGS_INVALID: Answer(400, Ran.NO, None, EXIT_INPUT),
    Kind.NODE_UNREACHABLE: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
    Kind.NOT_IN_FORCE: Answer(504, Ran.UNKNOWN, 1, EXIT_UNKNOWN),
    Kind.INTERNAL_ERROR: Answer(502, Ran.UNKNOWN, None, EXIT_UNKNOWN),
    Kind.INTERNAL_ERROR_NOT_RUN: Answer(503, Ran.NO, 1, EXIT_UNAVAILABLE),
}


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal with its reason.

    Parameters
    ----------
    kind : Kind
        Reason from the closed list.
    detail : str
        One line for a person; names the key, value or limit concerned.
    wait : float or None
        Wait before the next attempt in seconds, where the kind's own wait
        does not apply.
    is_final : bool
        Whether another node on the path has already used up the retries.
    """

    kind: Kind
    detail: str
    wait: float | None = None
    is_final: bool = False

    @property
    def answer(self):
        """Answer for the kind."""
        return ANSWERS[self.kind]


def failed_internally(is_passed_on):
    """Return the refusal of a request after an unexpected error of this program.

    Parameters
    ----------
    is_passed_on : bool
        Whether an upstream may have received the request.
    """
    kind = Kind.INTERNAL_ERROR if is_passed_on else Kind.INTERNAL_ERROR_NOT_RUN
    return Refused(kind, "unexpected error")


@dataclass(frozen=True, slots=True)
class Done:
    """A success with its value."""

    value: object = None
