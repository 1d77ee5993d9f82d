"""Requests on a connection, and the interface to the task that handles them."""

from abc import ABC, abstractmethod

from cyclamentally.errors import ANSWERS
from cyclamentally_calls.http_codec import Response


class RequestHandler(ABC):
    """The task that handles the requests of a connection."""

    __slots__ = ()

    @abstractmethod
    def on_request(self, exchange):
        """Handle a complete request; ``exchange.respond`` sends its response.

        Raises only if the request has not been passed on: it is then refused.
        """

    @abstractmethod
    def on_disconnect(self, exchange):
        """Handle that the client disconnected before the response was ready."""

    @abstractmethod
    def refuse(self, request, refusal):
        """Return the `Response` to a refused request."""

    @abstractmethod
    def may_run_concurrently(self, request):
        """Whether a request may start before earlier ones of its connection end."""

    @abstractmethod
    def on_closed(self, connection):
        """Handle that a connection was closed."""

    def request_id(self, request):
        """Return the ID of a request for the log; empty if it has none."""
        return ""


class Exchange:
    """One request on a connection and its response.

    Parameters
    ----------
    connection : ServerConnection
        Connection of the request.
    request : Request or None
        The request; None if it could not be parsed.
    arrived : float
        Time of arrival, in seconds.
    """

    __slots__ = ("response", "arrived", "closes", "connection", "is_started", "request")

    def __init__(self, connection, request, arrived):
        self.connection = connection
        self.request = request
        self.arrived = arrived
        self.response = None
        self.closes = False
        self.is_started = False

    def is_unanswered(self):
        """Whether the handler has the request and has not responded yet."""
        return self.is_started and self.response is None

    def respond(self, response):
        """Send the response once all earlier ones have been sent."""
        if self.response is None:
            self.response = response
            self.connection.flush()

    def fail(self, kind):
        """Respond with no more than the status of a `Kind`.

        Other nodes ignore such a response, since it lacks the ID of the request, and
        learn from the end of the connection that the request has failed.
        """
        if self.response is None:
            self.closes = True
            self.respond(Response(ANSWERS[kind].status, [], b""))
