"""The front end for callers: a WSGI application for waitress threads."""

from cyclamentally.effects import Count
from cyclamentally.errors import Kind, Refused
from cyclamentally.records import Record
from cyclamentally.retries import no_route
from cyclamentally.snapshot import EMPTY_SNAPSHOT
from cyclamentally_node.events import Counted, SuspectsReplaced
from cyclamentally_node.exchange import read_request, refusal_answer


class Routed(Record):
    """Route of a request and the policy of its service."""

    __slots__ = ("route", "policy")

    def __init__(self, route, policy):
        self.route = route
        self.policy = policy


class FrontView(Record):
    """What the front end reads once for each request.

    `FrontWatcher` replaces the snapshot and the suspects, `Node` sets the two
    flags, each once; nobody changes the objects that they hold.

    Parameters
    ----------
    snapshot : Snapshot
        Routes and clusters in force.
    suspects : SuspectsReplaced
        Marked and quarantined requests.
    is_ready, is_stopping : bool
        Whether requests are let in already, and still.
    """

    __slots__ = ("snapshot", "suspects", "is_ready", "is_stopping")

    def __init__(self):
        self.snapshot = EMPTY_SNAPSHOT
        self.suspects = SuspectsReplaced(frozenset(), frozenset())
        self.is_ready = False
        self.is_stopping = False


class Front:
    """Answer requests of callers.

    Parameters
    ----------
    view : FrontView
        What is in force.
    runner : RequestRunner
        Runs requests that may run again or have no key.
    keyed : KeyedRunner
        Runs requests with an idempotency key.
    meters : pykka.ActorRef
        Task that counts.
    max_body : int
        Largest request body in bytes.
    """

    __slots__ = ("keyed", "max_body", "meters", "runner", "view")

    def __init__(self, view, runner, keyed, meters, max_body):
        self.view = view
        self.runner = runner
        self.keyed = keyed
        self.meters = meters
        self.max_body = max_body

    def __call__(self, environ, start_response):
        """Answer a WSGI request."""
        answer = self.answer(environ)
        start_response(answer.status, answer.headers)
        return answer.body

    def answer(self, environ):
        """Return the `UpstreamAnswer` for a WSGI environment."""
        refusal = self._refuse_early()
        if refusal is not None:
            return self._refuse(refusal)
        request = read_request(environ, self.max_body)
        if isinstance(request, Refused):
            return self._refuse(request)
        request = request.value
        snapshot = self.view.snapshot
        route = snapshot.find_route(request.target)
        if route is None:
            return self._refuse(no_route(request.target))
        suspects = self.view.suspects
        if request.fingerprint in suspects.quarantined:
            detail = "this request has crashed upstreams"
            return self._refuse(Refused(Kind.REQUEST_QUARANTINED, detail))
        routed = Routed(route, snapshot.clusters[route.service].policy)
        is_gone = environ.get("waitress.client_disconnected", _never)
        runner = self.runner
        if request.key and not request.is_idempotent:
            runner = self.keyed
        outcome = runner.run(request, routed, suspects, is_gone)
        if isinstance(outcome, Refused):
            return refusal_answer(outcome)
        return outcome.value

    def _refuse_early(self):
        if self.view.is_stopping:
            return Refused(Kind.STOPPING, "this node is stopping")
        if not self.view.is_ready:
            return Refused(Kind.NOT_READY, "the configuration is not complete")
        return None

    def _refuse(self, refusal):
        self.meters.tell(Counted([Count("requests_refused_total", refusal.kind)]))
        return refusal_answer(refusal)


def _never():
    return False
