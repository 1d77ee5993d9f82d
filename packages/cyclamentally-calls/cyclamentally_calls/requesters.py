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

    @abstractmethod
    def fail(self, refusal):
        """Report a ``Refused`` alone, after an unexpected error."""


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

    def fail(self, refusal):
        """Send `OfferDone` without a load."""
        self.loop.post(self.sender, OfferDone(self.number, refusal, None))


class PeerRequester(Requester):
    """Another node."""

    __slots__ = ("exchange", "id_name", "loop")

    def __init__(self, loop, exchange, id_name):
        self.loop = loop
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
        self._refuse([encode_refusal(outcome), encode_load(load)])

    def fail(self, refusal):
        """Refuse the other node's request; without a load, and if need be a reason."""
        self.loop.attempt(self._refuse, [encode_refusal(refusal)])
        self.exchange.fail(refusal.kind)

    def _refuse(self, headers):
        echo = self.exchange.request.find(self.id_name.lower)
        if echo:
            headers.append((self.id_name.text, echo))
        self.exchange.respond(Response(REFUSED_STATUS, headers, b""))
