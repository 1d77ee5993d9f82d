"""Senders of requests at a gate, which receive the outcomes."""

from abc import ABC, abstractmethod

from cyclamentally.errors import Done
from cyclamentally_calls.call_events import OfferDone
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.peer_codec import (
    REFUSED_STATUS,
    encode_load,
    encode_refusal,
)


class Requester(ABC):
    """The sender of a request at the gate."""

    __slots__ = ()

    @property
    @abstractmethod
    def source(self):
        """Identifies the request at its sender; hashable."""

    @abstractmethod
    def resolve(self, outcome, load):
        """Report ``Done`` or ``Refused``, with the `Load` after the request."""


class LocalRequester(Requester):
    """A task of this node."""

    __slots__ = ("loop", "number", "sender")

    def __init__(self, loop, sender, number):
        self.loop = loop
        self.sender = sender
        self.number = number

    @property
    def source(self):
        """Number of the offer."""
        return self.number

    def resolve(self, outcome, load):
        """Send `OfferDone`."""
        self.loop.post(self.sender, OfferDone(self.number, outcome, load))


class PeerRequester(Requester):
    """Another node."""

    __slots__ = ("exchange", "id_name")

    def __init__(self, exchange, id_name):
        self.exchange = exchange
        self.id_name = id_name

    @property
    def source(self):
        """The exchange of the request."""
        return self.exchange

    def resolve(self, outcome, load):
        """Respond to the other node's request."""
        if isinstance(outcome, Done):
            response = outcome.value
            headers = [*response.headers, encode_load(load)]
            passed_on = Response(
                response.status, headers, response.body, length=response.length
            )
            self.exchange.respond(passed_on)
            return
        headers = [encode_refusal(outcome), encode_load(load)]
        echo = self.exchange.request.find(self.id_name.lower)
        if echo:
            headers.append((self.id_name.text, echo))
        self.exchange.respond(Response(REFUSED_STATUS, headers, b""))
